package kingcuptide.forwarder.request

import kingcuptide.coordination.version.TargetId

/** What has shown that the target beside this daemon takes no new requests, and what that means for those it runs. */
sealed interface TargetFailure {
    val reason: String

    /**
     * Connects are refused. The target may still respond on its open connections, as one that leaves does, so what it
     * runs ends with these connections.
     */
    data class ListenerClosed(override val reason: String) : TargetFailure

    /** Nothing responds on any connection, old or new. */
    data class Unresponsive(override val reason: String) : TargetFailure

    /** Another target responds at the address, so [before] has ended. */
    data class Replaced(val before: TargetId) : TargetFailure {
        override val reason: String get() = "another target responds"
    }
}

/** Returns whether a request that runs at [target] gets no response any more. */
internal fun TargetFailure.endsRequestsAt(target: TargetId): Boolean = when (this) {
    is TargetFailure.ListenerClosed -> false
    is TargetFailure.Unresponsive -> true
    is TargetFailure.Replaced -> target == before
}
