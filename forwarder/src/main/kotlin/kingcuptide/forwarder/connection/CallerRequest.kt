package kingcuptide.forwarder.connection

import kotlin.time.Duration

/** A complete request of a caller. */
class CallerRequest(
    val method: String,
    val target: String,
    val headers: Headers,
    val body: ByteArray,
    val receivedAt: Duration,
) {
    /** The request target without its query. */
    val path: String get() = target.substringBefore('?')
}
