package kingcuptide.forwarder.connection

import kotlin.time.Duration

/** A complete request of a caller. [fromTarget] is true if the target on this host sent it. */
class CallerRequest(
    val method: String,
    val target: String,
    val headers: Headers,
    val body: ByteArray,
    val receivedAt: Duration,
    val fromTarget: Boolean,
) {
    /** The request target without its query. */
    val path: String get() = target.substringBefore('?')
}
