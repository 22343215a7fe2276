package kingcuptide.daemon.connection

import kingcuptide.coordination.connection.BodyChunk

/** The caller's body ended before its declared length. */
class BodyBrokenException : Exception("request body broke off")

internal fun chunk(number: Long, bytes: ByteArray): BodyChunk = BodyChunk(number, bytes, last = false)

internal fun lastChunk(number: Long): BodyChunk = BodyChunk(number, ByteArray(0), last = true)
