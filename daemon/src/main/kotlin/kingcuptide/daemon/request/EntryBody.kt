package kingcuptide.daemon.request

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kingcuptide.daemon.connection.IncompleteRequestException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.produce

/**
 * The body of a caller's request.
 *
 * The first [MAX_REPLAY_BYTES] are buffered, so that a request whose body fits can be retried. The rest of a longer
 * body is streamed once.
 */
class EntryBody private constructor(
    private val input: ByteReadChannel?,
    private val buffered: ByteArray,
    private val isComplete: Boolean,
    private val declaredLength: Long?,
) {
    private var restStreamed = false

    /** Whether the request has a body. */
    val isPresent: Boolean get() = input != null

    /** Whether another attempt can send the same body: all of it is buffered, or streaming has not started. */
    val canReplay: Boolean get() = isComplete || !restStreamed

    /** The buffered start of the body, at most [MAX_REPLAY_BYTES]; input of the request fingerprint. */
    val prefix: ByteArray get() = buffered

    /** Whether the body has no declared length and at least [MAX_REPLAY_BYTES]. */
    val isUnboundedStream: Boolean get() = !isComplete && declaredLength == null

    /** Returns the chunks of the body for one attempt, or null if the request has no body. */
    @OptIn(ExperimentalCoroutinesApi::class)
    fun chunks(scope: CoroutineScope): ReceiveChannel<ByteArray>? {
        if (input == null) return null
        return scope.produce(capacity = 1) {
            if (buffered.isNotEmpty()) buffered.splitIntoChunks().forEach { send(it) }
            if (!isComplete) {
                restStreamed = true
                streamRest(input) { send(it) }
            }
        }
    }

    private suspend fun streamRest(input: ByteReadChannel, send: suspend (ByteArray) -> Unit) {
        var remainingBytes = checkNotNull(declaredLength) - buffered.size
        val buffer = ByteArray(STREAM_CHUNK_BYTES)
        while (remainingBytes > 0) {
            val count = input.readAvailable(buffer)
            if (count < 0) throw IncompleteRequestException()
            if (count == 0) continue
            remainingBytes -= count
            send(buffer.copyOf(count))
        }
    }

    companion object {
        /** Largest body that is buffered for retries. */
        const val MAX_REPLAY_BYTES = 64 * 1024

        private const val STREAM_CHUNK_BYTES = 16 * 1024

        /**
         * Buffers the start of the body from [input]; [declaredLength] is the caller's Content-Length.
         *
         * Fails with an [IncompleteRequestException] if [input] ends early.
         */
        suspend fun read(input: ByteReadChannel, declaredLength: Long?, chunked: Boolean): EntryBody {
            if (declaredLength == null &&
                !chunked
            ) {
                return EntryBody(null, ByteArray(0), isComplete = true, declaredLength = 0)
            }
            val limit = minOf(declaredLength ?: Long.MAX_VALUE, MAX_REPLAY_BYTES.toLong()).toInt()
            val buffered = input.readUpTo(limit)
            if (declaredLength != null && buffered.size < limit) throw IncompleteRequestException()
            val isComplete =
                if (declaredLength != null) buffered.size.toLong() == declaredLength else buffered.size < limit
            return EntryBody(input, buffered, isComplete, declaredLength)
        }
    }
}

private suspend fun ByteReadChannel.readUpTo(limit: Int): ByteArray {
    var buffer = ByteArray(minOf(limit, INITIAL_BUFFER_BYTES))
    var size = 0
    while (size < limit) {
        if (size == buffer.size) buffer = buffer.copyOf(minOf(limit, buffer.size * 2))
        val count = readAvailable(buffer, size, buffer.size - size)
        if (count < 0) break
        size += count
    }
    closedCause?.let { throw IncompleteRequestException() }
    return buffer.copyOf(size)
}

private fun ByteArray.splitIntoChunks(): List<ByteArray> =
    indices.step(MAX_CHUNK_BYTES).map { start -> copyOfRange(start, minOf(size, start + MAX_CHUNK_BYTES)) }

private const val INITIAL_BUFFER_BYTES = 4 * 1024
private const val MAX_CHUNK_BYTES = 16 * 1024
