package kingcuptide.coordination.connection

import kotlinx.serialization.KSerializer

/** The kinds of request frames. The ordinal is the byte that tells the kind on the wire: append only. */
internal enum class FrameKind(
    val serializer: KSerializer<out RequestFrame>,
) {
    HELLO(Hello.serializer()),
    STAMP(Stamp.serializer()),
    STAMP_REQUEST(StampRequest.serializer()),
    REQUEST_HEAD(RequestHead.serializer()),
    BODY_CHUNK(BodyChunk.serializer()),
    WINDOW(Window.serializer()),
    ANSWER_HEAD(AnswerHead.serializer()),
    REFUSAL(Refusal.serializer()),
    ANSWER_ABORT(AnswerAbort.serializer()),
    CANCEL(Cancel.serializer()),
}

/** Returns the kind of [frame]. */
internal fun kindOf(frame: RequestFrame): FrameKind = when (frame) {
    is Hello -> FrameKind.HELLO
    is Stamp -> FrameKind.STAMP
    is StampRequest -> FrameKind.STAMP_REQUEST
    is RequestHead -> FrameKind.REQUEST_HEAD
    is BodyChunk -> FrameKind.BODY_CHUNK
    is Window -> FrameKind.WINDOW
    is AnswerHead -> FrameKind.ANSWER_HEAD
    is Refusal -> FrameKind.REFUSAL
    is AnswerAbort -> FrameKind.ANSWER_ABORT
    is Cancel -> FrameKind.CANCEL
}
