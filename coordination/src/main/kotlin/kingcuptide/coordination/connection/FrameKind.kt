package kingcuptide.coordination.connection

import kotlinx.serialization.KSerializer

/** Kinds of request frames. The ordinal is the kind's byte on the wire: append only, never reorder. */
internal enum class FrameKind(
    val serializer: KSerializer<out RequestFrame>,
) {
    HELLO(Hello.serializer()),
    STAMP(GateTimestamp.serializer()),
    STAMP_REQUEST(GateTimestampRequest.serializer()),
    REQUEST_HEAD(RequestHead.serializer()),
    BODY_CHUNK(BodyChunk.serializer()),
    WINDOW(Window.serializer()),
    ANSWER_HEAD(ResponseHead.serializer()),
    REFUSAL(Refusal.serializer()),
    ANSWER_ABORT(ResponseAbort.serializer()),
    CANCEL(Cancel.serializer()),
}

/** Returns the kind of [frame]. */
internal fun kindOf(frame: RequestFrame): FrameKind = when (frame) {
    is Hello -> FrameKind.HELLO
    is GateTimestamp -> FrameKind.STAMP
    is GateTimestampRequest -> FrameKind.STAMP_REQUEST
    is RequestHead -> FrameKind.REQUEST_HEAD
    is BodyChunk -> FrameKind.BODY_CHUNK
    is Window -> FrameKind.WINDOW
    is ResponseHead -> FrameKind.ANSWER_HEAD
    is Refusal -> FrameKind.REFUSAL
    is ResponseAbort -> FrameKind.ANSWER_ABORT
    is Cancel -> FrameKind.CANCEL
}
