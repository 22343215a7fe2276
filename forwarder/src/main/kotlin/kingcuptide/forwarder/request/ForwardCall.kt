package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.Fingerprint
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.fingerprintOf
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.Headers
import kotlin.time.Duration

/** A request on its way from the daemon that took it to the one beside its target. Times count from now. */
class ForwardCall(
    val requestId: String,
    val method: String,
    val target: String,
    val headers: Headers,
    val body: ByteArray,
    val remaining: Duration,
    val untilObjective: Duration,
    val objective: Duration,
    val route: RouteId,
    val priority: Int,
    val idempotent: Boolean,
    val targetId: TargetId,
) {
    /** The same for all requests that look the same. */
    val fingerprint: Fingerprint by lazy(LazyThreadSafetyMode.NONE) { fingerprintOf(route, method, target, body) }
}

/** How a forwarded request ended. [loadReport] is what the gate has in hand, if it said so. */
sealed interface ForwardResult {
    val loadReport: GateLoadReport?

    /** The target answered. */
    data class Answered(
        val response: BufferedResponse,
        val ran: Duration,
        override val loadReport: GateLoadReport?,
    ) : ForwardResult

    /** It did not run and will not. [reachedTarget] tells whether it was the target that refused. */
    data class Refused(
        val code: ResultCode,
        val retryAfter: Duration,
        val reachedTarget: Boolean,
        override val loadReport: GateLoadReport?,
    ) : ForwardResult

    /** It may have run, so that [code] must promise nothing. */
    data class Lost(
        val code: ResultCode,
        override val loadReport: GateLoadReport?,
    ) : ForwardResult {
        init {
            require(code.outcome == Outcome.UNKNOWN) { "$code says that the request did not run" }
        }
    }
}

/** A request in a gate's hands. */
fun interface Cancellation {
    /** The caller has left: what waits is dropped, what runs is broken off. */
    fun cancel()
}
