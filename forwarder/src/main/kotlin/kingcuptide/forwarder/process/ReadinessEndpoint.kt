package kingcuptide.forwarder.process

import kingcuptide.coordination.process.ResultCode
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.NO_BYTES

/** Serves the readiness address: whether this daemon accepts requests, and its metrics. */
internal class ReadinessEndpoint(
    private val readinessPath: String,
    private val metrics: DaemonMetrics,
    private val isReady: () -> Boolean,
) {
    private var wasReady = false

    fun respond(path: String): BufferedResponse = when (path) {
        METRICS_PATH -> BufferedResponse(OK, METRICS_HEADERS, metrics.scrape().encodeToByteArray())
        readinessPath -> BufferedResponse(currentStatus(), emptyList(), NO_BYTES)
        else -> BufferedResponse(ResultCode.UNKNOWN_ROUTE.httpStatus, emptyList(), NO_BYTES)
    }

    private fun currentStatus(): Int {
        val ready = isReady()
        if (ready != wasReady) {
            wasReady = ready
            log.info("readiness", "ready" to ready)
        }
        return if (ready) OK else ResultCode.NO_CONFIGURATION.httpStatus
    }

    private companion object {
        const val OK = 200
        const val METRICS_PATH = "/metrics"
        val METRICS_HEADERS = listOf("Content-Type" to "text/plain; version=0.0.4")
        val log = eventLog("daemon")
    }
}
