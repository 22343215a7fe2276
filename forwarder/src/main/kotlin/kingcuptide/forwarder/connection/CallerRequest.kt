package kingcuptide.forwarder.connection

import kotlin.time.Duration

/** A whole request of a caller. [fromTarget] tells whether the target on this host sent it. */
class CallerRequest(
    val method: String,
    val target: String,
    val headers: Headers,
    val body: ByteArray,
    val receivedAt: Duration,
    val fromTarget: Boolean,
) {
    /** The target without its query. */
    val path: String get() = target.substringBefore('?')
}
