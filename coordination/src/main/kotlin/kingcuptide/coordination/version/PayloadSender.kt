package kingcuptide.coordination.version

import kingcuptide.coordination.connection.OfferedVersion
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.PayloadRequest
import kingcuptide.coordination.connection.SenderBusy
import kingcuptide.coordination.connection.VersionPayload
import kingcuptide.coordination.process.HostId
import kotlin.random.Random

/** Serves the payload requests of peers within the byte [budget]. Not thread-safe. */
internal class PayloadSender(
    private val kind: ResourceKind,
    codec: PayloadCodec,
    private val random: Random,
    private val budget: TokenBucket,
    private val counters: VersionCounters,
) {
    private val history = DeltaHistory()
    private val payloads = EncodedPayloads(codec)

    /** Records that [target] is the successor of [base]. */
    fun recordDelta(base: ResourceContent, target: ResourceContent) = history.add(base.deltaTo(target))

    /** Returns the reply to [from], given that [content] is the newest, which [offered] describes for a peer. */
    fun reply(
        from: HostId,
        request: PayloadRequest,
        content: ResourceContent,
        offered: (ResourceVersion) -> OfferedVersion,
    ): List<Outbound> {
        if (content.version.number < request.target.number) return emptyList()
        val delta = request.base?.let { history.between(it, content.version) }
        val bytes = payloads.encode(content, delta)
        if (!budget.tryAcquire(bytes.size.toDouble())) {
            counters.count(VersionEvent.SENT_BUSY)
            return listOf(Outbound(from, SenderBusy(kind, MIN_RETRY_AFTER_MS + random.nextLong(RETRY_AFTER_JITTER_MS))))
        }
        counters.count(if (delta == null) VersionEvent.SENT_WHOLE else VersionEvent.SENT_DELTA)
        return listOf(Outbound(from, VersionPayload(offered(content.version), delta?.base, bytes)))
    }

    private companion object {
        /** Minimum and jitter of the delay after which a busy reply lets a peer retry. */
        const val MIN_RETRY_AFTER_MS = 50L
        const val RETRY_AFTER_JITTER_MS = 250L
    }
}
