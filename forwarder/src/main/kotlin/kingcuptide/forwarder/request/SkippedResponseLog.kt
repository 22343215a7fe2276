package kingcuptide.forwarder.request

import kingcuptide.forwarder.connection.ExchangeObserver
import kingcuptide.forwarder.connection.SkippedResponse
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.EventLog
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.eventLog

/** Logs and counts responses of the target beside this daemon that are passed to no call. */
internal class SkippedResponseLog(
    private val names: HeaderNames,
    private val metrics: DaemonMetrics,
    private val log: EventLog = eventLog("target"),
) : ExchangeObserver {
    override fun skipped(response: SkippedResponse) {
        metrics.responseSkipped(response.reason.label)
        log.info(
            "response_skipped",
            "request" to response.callHeaders.first(names.requestId),
            "arrived" to response.headers.first(names.requestId)?.take(MAX_ID_CHARS),
            "reason" to response.reason.label,
            "status" to response.status,
            "body_bytes" to response.bodyBytes,
            "complete" to response.isComplete,
            "same_read" to response.isSameRead,
        )
    }

    private companion object {
        /** The target chooses the id of a response; those of requests are shorter. */
        const val MAX_ID_CHARS = 128
    }
}
