package kingcuptide.forwarder.request

import kingcuptide.coordination.version.KnownTarget

/** Sends requests from this daemon to the gates of targets. */
interface GateTransport {
    /** Whether a request can be sent to the gate of [target] now. */
    fun canSend(target: KnownTarget): Boolean

    /** Whether the daemon beside [target] has told this one, since this one started, that [target] is in use. */
    fun isToldInUse(target: KnownTarget): Boolean

    /** Sends [call]; [onResult] is called once, possibly before this returns, unless the call is cancelled. */
    fun submit(target: KnownTarget, call: ForwardCall, onResult: (ForwardResult) -> Unit): Cancellation
}
