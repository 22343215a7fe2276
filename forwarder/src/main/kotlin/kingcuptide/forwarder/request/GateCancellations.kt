package kingcuptide.forwarder.request

import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.EventLog
import kingcuptide.forwarder.process.Side
import kingcuptide.forwarder.process.eventLog
import kotlin.time.Duration

/** Logs and counts requests that their entries cancel before the gate has replied. Used on the event loop. */
internal class GateCancellations(
    private val metrics: DaemonMetrics,
    private val log: EventLog = eventLog("gate"),
) {
    /** The request of [call] was cancelled in the queue, [waited] after it arrived. */
    fun inQueue(call: ForwardCall, waited: Duration) {
        metrics.cancelled(Side.GATE, "queued")
        log.info(
            "gate_withdrawn",
            "request" to call.requestId,
            "target" to call.targetId,
            "waited_ms" to waited.inWholeMilliseconds,
        )
    }

    /**
     * The request of [call] was cancelled [ran] after it left the queue, where it had [waited]; [sent] before that it was
     * written to a connection to the target, or null if it was still to be.
     */
    fun started(call: ForwardCall, waited: Duration, ran: Duration, sent: Duration?) {
        val place = if (sent == null) "connecting" else "running"
        metrics.cancelled(Side.GATE, place)
        log.info(
            "gate_cancelled",
            "request" to call.requestId,
            "target" to call.targetId,
            "place" to place,
            "waited_ms" to waited.inWholeMilliseconds,
            "ran_ms" to ran.inWholeMilliseconds,
            "sent_ms" to sent?.inWholeMilliseconds,
        )
    }
}
