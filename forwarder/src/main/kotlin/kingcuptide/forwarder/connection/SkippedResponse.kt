package kingcuptide.forwarder.connection

/**
 * A response, or bytes that are none, that a connection does not pass to any call.
 *
 * @property callHeaders headers of the waiting call, or else of the last one on the connection; empty if there was none
 * @property status null if the bytes are no response
 * @property bodyBytes bytes of the body that arrived; of a response that no call waits for, as its head states them, or
 *   null if it does not
 * @property isComplete whether its end arrived
 * @property isSameRead whether it began in the same read of the socket as the end of the response before it
 */
class SkippedResponse(
    val reason: SkipReason,
    val callHeaders: Headers,
    val status: Int?,
    val headers: Headers,
    val bodyBytes: Long?,
    val isComplete: Boolean,
    val isSameRead: Boolean,
)

/** Why a response is passed to no call. */
enum class SkipReason(
    val label: String,
) {
    /** The waiting call rejected its head. */
    OTHER_CALL("other_call"),

    /** No call waited. */
    NO_CALL("no_call"),
}
