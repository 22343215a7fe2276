package kingcuptide.coordination.connection

/** Bytes of one body that its sender may still send. Not thread-safe; guarded by its connection. */
internal class SendCredit(
    private val windowBytes: Int,
) {
    private var remainingBytes: Int = windowBytes

    /** Acquires credit for up to [wantedBytes], at most one chunk, and returns the bytes granted; 0 means wait. */
    fun acquire(wantedBytes: Int): Int {
        val granted = minOf(wantedBytes, remainingBytes, MAX_CHUNK_BYTES)
        remainingBytes -= granted
        return granted
    }

    /** Adds [bytes] of credit from the receiver. Returns false if that exceeds the window, a protocol violation. */
    fun add(bytes: Int): Boolean {
        if (bytes <= 0 || bytes > windowBytes - remainingBytes) {
            return false
        }
        remainingBytes += bytes
        return true
    }
}

/** Bytes of one body that its receiver has granted or buffered. Not thread-safe; guarded by its connection. */
internal class ReceiveCredit(
    private val windowBytes: Int,
) {
    private var allowedBytes: Int = windowBytes
    private var consumedBytes: Int = 0

    /** Records that [bytes] arrived. Returns false if the sender had no credit for them. */
    fun receive(bytes: Int): Boolean {
        allowedBytes -= bytes
        return allowedBytes >= 0
    }

    /** Records that [bytes] left the buffer, and returns the bytes to grant now; 0 if too few to justify a frame. */
    fun consume(bytes: Int): Int {
        consumedBytes += bytes
        if (consumedBytes < windowBytes / 2) {
            return 0
        }
        return consumedBytes.also {
            allowedBytes += it
            consumedBytes = 0
        }
    }
}
