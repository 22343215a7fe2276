package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.EventLog
import kingcuptide.forwarder.process.Side
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlin.time.Duration

/** Logs and counts requests that are cancelled before their callers have a response. Used on the event loop. */
internal class EntryCancellations(
    private val clock: Clock,
    private val metrics: DaemonMetrics,
    private val log: EventLog = eventLog("entry"),
) {
    /**
     * Returns the result of [block], which serves the request [requestId]. If its coroutine is cancelled, a line names
     * the target to whose gate the request was sent last, or none while it waits at this entry.
     */
    suspend inline fun <T> observe(
        requestId: String,
        receivedAt: Duration,
        target: () -> TargetId?,
        targetsReached: () -> Int,
        block: () -> T,
    ): T =
        try {
            block()
        } catch (exception: CancellationException) {
            if (!currentCoroutineContext().isActive) {
                cancelled(requestId, receivedAt, target(), targetsReached(), exception.message)
            }
            throw exception
        }

    fun cancelled(requestId: String, receivedAt: Duration, target: TargetId?, targetsReached: Int, reason: String?) {
        val place = if (target == null) "waiting" else "sent"
        metrics.cancelled(Side.ENTRY, place)
        log.info(
            "request_cancelled",
            "request" to requestId,
            "target" to target,
            "place" to place,
            "reached" to targetsReached,
            "after_ms" to (clock.now() - receivedAt).inWholeMilliseconds,
            "reason" to reason,
        )
    }
}
