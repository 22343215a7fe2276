package kingcuptide.coordination.connection

import kingcuptide.coordination.request.Fingerprint
import kotlinx.serialization.Serializable

/**
 * Crashes of targets that ran requests with one fingerprint, and what speaks against these requests as their cause.
 *
 * Records of several daemons merge by the union of their crashes and, for each, of the callers and survivors, so that order
 * and duplicates do not matter.
 */
@Serializable
public data class CrashRecord(
    val fingerprint: Fingerprint,
    val crashes: List<SuspectedCrash>,
)

/**
 * A crash for which requests with one fingerprint may be the cause.
 *
 * @property ageMs time since the requests were interrupted
 * @property runMsByCaller for each caller with such requests in flight, by its key, how long the one that started last had
 * run by then; empty if the reporting daemon does not tell them
 * @property survivedBefore keys of callers whose requests the target had survived some time before it crashed
 * @property survivedBy keys of callers whose requests, started after the crash, a target has survived
 */
@Serializable
public data class SuspectedCrash(
    val crash: TargetCrash,
    val ageMs: Long,
    val runMsByCaller: Map<Int, Long>,
    val survivedBefore: Set<Int> = emptySet(),
    val survivedBy: Set<Int> = emptySet(),
) {
    /** Whether requests of all callers in flight have been survived since, so that none of them crashes each target. */
    val isCleared: Boolean get() = runMsByCaller.isNotEmpty() && survivedBy.containsAll(runMsByCaller.keys)
}
