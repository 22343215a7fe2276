package kingcuptide.bench.requests

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.CallLevel
import kingcuptide.coordination.request.Fingerprint
import kingcuptide.coordination.request.HomeRegions
import kingcuptide.coordination.request.Outcome
import kotlin.time.Duration

/** One request of a caller. */
data class Call(
    val id: Long,
    val entry: FakeHost,
    val deadline: Duration,
    val idempotent: Boolean,
    val fingerprint: Fingerprint = Fingerprint(id),
    val homeRegions: HomeRegions = HomeRegions.Anywhere,
    val level: CallLevel = CallLevel.OUTERMOST,
)

/** Result of a call for its caller. [code] is null if the target answered. */
data class CallResult(
    val call: Call,
    val code: ResultCode?,
    val outcome: Outcome?,
    val retryAfter: Duration?,
    val attempts: Int,
)

/** A policy for routing calls to targets. */
interface Policy {
    /** Starts [call]; [onResult] is called once. The returned function reports that the caller disconnected. */
    fun start(call: Call, onResult: (CallResult) -> Unit): () -> Unit

    /** Begins the planned stop of [host]. */
    fun drain(host: FakeHost, onDrained: () -> Unit)

    /** Discards the state of the daemon of [host], which has restarted. */
    fun restarted(host: FakeHost)
}
