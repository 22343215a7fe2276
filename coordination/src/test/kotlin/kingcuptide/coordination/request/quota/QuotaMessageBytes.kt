package kingcuptide.coordination.request.quota

/** Bytes of a message with its frame: numeric labels, integers as CBOR encodes them, absent fields left out. */
internal fun bytesOf(message: QuotaMessage): Int = FRAME_BYTES + when (message) {
    is QuotaMessage.Ask ->
        field(message.number) + optional(message.stamp) + optional(message.weight) +
            (if (message.isDomainLender) 2 else 0) + (if (message.isUrgent) 2 else 0) +
            list(message.keys) + list(message.wanted) + list(message.returned)
    is QuotaMessage.Grant ->
        field(message.number) + optional(message.stamp) + list(message.granted) + list(message.roomInMs)
}

/** Frame length, kind, head length, and the head of the CBOR map. */
private const val FRAME_BYTES = 10

private fun field(value: Int) = 1 + integer(value)

private fun optional(value: Int) = if (value == 0) 0 else field(value)

private fun list(values: List<Int>) =
    if (values.isEmpty()) 0 else 1 + integer(values.size) + values.sumOf { integer(it) }

private fun integer(value: Int): Int = when (if (value < 0) value.inv() else value) {
    in 0..23 -> 1
    in 24..0xff -> 2
    in 0x100..0xffff -> 3
    else -> 5
}
