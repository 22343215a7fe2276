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

/** What the caller got. [code] is null for an answer. */
data class CallEnd(
    val call: Call,
    val code: ResultCode?,
    val outcome: Outcome?,
    val retryAfter: Duration?,
    val attempts: Int,
)

/** A way to get calls to targets. */
interface Policy {
    /** Carries [call] out; [onEnd] is called once. The returned function tells that the caller went away. */
    fun start(call: Call, onEnd: (CallEnd) -> Unit): () -> Unit

    /** Begins the planned stop of [host]. */
    fun drain(host: FakeHost, onDrained: () -> Unit)

    /** The daemon of [host] has started again with nothing in memory. */
    fun restarted(host: FakeHost)
}
