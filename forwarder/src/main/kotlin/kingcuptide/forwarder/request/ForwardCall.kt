package kingcuptide.forwarder.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.CallCounts
import kingcuptide.coordination.request.FingerprintInput
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.RunTimes
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.HeaderNames
import kotlin.time.Duration

/**
 * A request on its way from the entry daemon to the one beside its target. Durations count from now.
 *
 * @property workspace name of the workspace whose API key the request had, or null
 * @property ratePerSecond the rate that the entry knows the target to have named, or null
 * @property runTimes the run times that the gate reported before it lost them, or null
 * @property onSilent called if the call goes on although the target, or the daemon beside it, is silent; gets the load of
 * the gate, or null if it has sent none. Only idempotent calls are told.
 */
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
    val workspace: String? = null,
    val ratePerSecond: Double? = null,
    val runTimes: RunTimes? = null,
    val onSilent: (GateLoadReport?) -> Unit = {},
) {
    /** Returns what identifies requests with the same route, method, target, body and caller. */
    fun fingerprintInput(names: HeaderNames): FingerprintInput =
        FingerprintInput(route, method, target, body, headers.first(names.callerService).orEmpty())
}

/** Result of a forwarded request. [loadReport] is the load of the gate, null if it sent none. */
sealed interface ForwardResult {
    val loadReport: GateLoadReport?

    /** The target responded; [runTime] is how long it took, and [calls] what it called meanwhile, null if unknown. */
    data class Answered(
        val response: BufferedResponse,
        val runTime: Duration,
        override val loadReport: GateLoadReport?,
        val calls: CallCounts? = null,
    ) : ForwardResult

    /** It did not run and will not. [reachedTarget] is true if the target refused it, false if the gate did. */
    data class Refused(
        val code: ResultCode,
        val retryAfter: Duration,
        val reachedTarget: Boolean,
        override val loadReport: GateLoadReport?,
    ) : ForwardResult

    /** It may have run; [code] must have the outcome [Outcome.UNKNOWN]. */
    data class OutcomeUnknown(
        val code: ResultCode,
        override val loadReport: GateLoadReport?,
    ) : ForwardResult {
        init {
            require(code.outcome == Outcome.UNKNOWN) { "$code does not have the outcome UNKNOWN" }
        }
    }
}

/** Cancels a request that a gate has accepted. */
fun interface Cancellation {
    /**
     * Drops a queued request and cancels a running one. Returns whether it is certain that no byte of it reaches a target.
     */
    fun cancel(): Boolean
}
