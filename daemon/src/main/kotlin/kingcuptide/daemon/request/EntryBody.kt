package kingcuptide.daemon.request

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kingcuptide.daemon.connection.BodyBrokenException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.produce

/**
 * The body of a caller's request.
 *
 * The first [REPLAY_BYTES] are kept, so that a request whose whole body fits can be sent again; of a longer body the
 * rest is streamed once, piece by piece.
 */
class EntryBody private constructor(
    private val input: ByteReadChannel?,
    private val kept: ByteArray,
    private val whole: Boolean,
    private val declaredLength: Long?,
) {
    private var restStarted = false

    /** Whether the request has a body at all. */
    val isPresent: Boolean get() = input != null

    /** Whether another attempt can send the same body. */
    val canReplay: Boolean get() = whole || !restStarted

    /** First bytes of the body, for fingerprints. */
    val prefix: ByteArray get() = kept

    /** Whether a body without a declared length is longer than what is kept. */
    val isUnboundedStream: Boolean get() = !whole && declaredLength == null

    /** Returns the pieces of the body for one attempt, or null if there is none. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun pieces(scope: CoroutineScope): ReceiveChannel<ByteArray>? {
        if (input == null) return null
        return scope.produce(capacity = 1) {
            if (kept.isNotEmpty()) kept.inputPieces().forEach { send(it) }
            if (!whole) {
                restStarted = true
                streamRest(input) { send(it) }
            }
        }
    }

    private suspend fun streamRest(input: ByteReadChannel, send: suspend (ByteArray) -> Unit) {
        var left = checkNotNull(declaredLength) - kept.size
        val buffer = ByteArray(PIECE_BYTES)
        while (left > 0) {
            val count = input.readAvailable(buffer)
            if (count < 0) throw BodyBrokenException()
            if (count == 0) continue
            left -= count
            send(buffer.copyOf(count))
        }
    }

    companion object {
        /** Greatest body that is kept for another attempt. */
        const val REPLAY_BYTES = 64 * 1024

        private const val PIECE_BYTES = 16 * 1024

        /** Reads the kept part of the body from [input]; [declaredLength] is the caller's Content-Length. */
        suspend fun read(input: ByteReadChannel, declaredLength: Long?, chunked: Boolean): EntryBody {
            if (declaredLength == null &&
                !chunked
            ) {
                return EntryBody(null, ByteArray(0), whole = true, declaredLength = 0)
            }
            val limit = minOf(declaredLength ?: Long.MAX_VALUE, REPLAY_BYTES.toLong()).toInt()
            val kept = input.readUpTo(limit)
            if (declaredLength != null && kept.size < limit) throw BodyBrokenException()
            val whole = if (declaredLength != null) kept.size.toLong() == declaredLength else kept.size < limit
            return EntryBody(input, kept, whole, declaredLength)
        }
    }
}

private suspend fun ByteReadChannel.readUpTo(limit: Int): ByteArray {
    var buffer = ByteArray(minOf(limit, FIRST_BUFFER_BYTES))
    var size = 0
    while (size < limit) {
        if (size == buffer.size) buffer = buffer.copyOf(minOf(limit, buffer.size * 2))
        val count = readAvailable(buffer, size, buffer.size - size)
        if (count < 0) break
        size += count
    }
    closedCause?.let { throw BodyBrokenException() }
    return buffer.copyOf(size)
}

private fun ByteArray.inputPieces(): List<ByteArray> =
    indices.step(MAX_PIECE_BYTES).map { start -> copyOfRange(start, minOf(size, start + MAX_PIECE_BYTES)) }

private const val FIRST_BUFFER_BYTES = 4 * 1024
private const val MAX_PIECE_BYTES = 16 * 1024
