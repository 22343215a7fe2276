package kingcuptide.forwarder.request

import kingcuptide.coordination.version.TargetId

/** What has shown that the target beside this daemon takes no new requests. */
sealed interface TargetFailure {
    val reason: String

    /**
     * Connects are refused. The target may still respond on its open connections, as one that leaves does, so what it
     * runs ends with these connections.
     */
    data class ListenerClosed(override val reason: String) : TargetFailure

    /**
     * Neither a health check nor a request gets a response, or a connect times out. The target may only be slow or paused,
     * so what it runs goes on, and idempotent requests may also run elsewhere.
     */
    data class Unresponsive(override val reason: String) : TargetFailure

    /** Another target responds at the address, so [before] has ended. */
    data class Replaced(val before: TargetId) : TargetFailure {
        override val reason: String get() = "another target responds"
    }
}
