package kingcuptide.coordination.version

import kingcuptide.coordination.connection.OfferedVersion
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.PayloadRequest
import kingcuptide.coordination.connection.SenderBusy
import kingcuptide.coordination.connection.VersionPayload
import kingcuptide.coordination.process.HostId
import kotlin.random.Random

/** Answers peers that ask for content, within [budget] bytes. Not thread-safe. */
internal class PayloadSender(
    private val kind: ResourceKind,
    codec: PayloadCodec,
    private val random: Random,
    private val budget: TokenBucket,
    private val counters: VersionCounters,
) {
    private val history = DeltaHistory()
    private val payloads = EncodedPayloads(codec)

    /** Notes that [target] follows [base]. */
    fun noteStep(base: ResourceContent, target: ResourceContent) = history.add(base.deltaTo(target))

    /** Returns what to send to [from], given that [content], described as [offered], is the newest that is held. */
    fun answer(
        from: HostId,
        want: PayloadRequest,
        content: ResourceContent,
        offered: (ResourceVersion) -> OfferedVersion,
    ): List<Outbound> {
        if (content.version.number < want.target.number) return emptyList()
        val delta = want.base?.let { history.between(it, content.version) }
        val bytes = payloads.encode(content, delta)
        if (!budget.tryAcquire(bytes.size.toDouble())) {
            counters.count(VersionEvent.SENT_BUSY)
            return listOf(Outbound(from, SenderBusy(kind, BUSY_MIN_MS + random.nextLong(BUSY_SPREAD_MS))))
        }
        counters.count(if (delta == null) VersionEvent.SENT_WHOLE else VersionEvent.SENT_DELTA)
        return listOf(Outbound(from, VersionPayload(offered(content.version), delta?.base, bytes)))
    }

    private companion object {
        const val BUSY_MIN_MS = 50L
        const val BUSY_SPREAD_MS = 250L
    }
}
