package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.FailureDomainId

/**
 * What decides whether a live host can lend.
 *
 * @property cpuShare processor time that its daemon may use, in thousandths of a core
 * @property startedAtUnixMs start of its daemon by its own clock
 * @property isLeaving whether its daemon has announced that it stops
 */
public data class QuotaPeer(
    val failureDomain: FailureDomainId,
    val cpuShare: Int = WHOLE_CORE,
    val startedAtUnixMs: Long = 0,
    val isLeaving: Boolean = false,
) {
    public companion object {
        /** Share of a daemon that does not state one; a larger one makes no better lender. */
        public const val WHOLE_CORE: Int = 1_000
    }
}
