package kingcuptide.daemon.connection

import kingcuptide.coordination.connection.BodyChunk

/** The caller's body ended before its declared length. */
class IncompleteRequestException : Exception("request body ended before its declared length")

internal fun bodyChunk(number: Long, bytes: ByteArray): BodyChunk = BodyChunk(number, bytes, last = false)

internal fun lastBodyChunk(number: Long): BodyChunk = BodyChunk(number, ByteArray(0), last = true)
