package kingcuptide.coordination.connection

/** Bytes of one body that a sender may still send. Not thread-safe: its connection guards it. */
internal class SendCredit(
    private val windowBytes: Int,
) {
    private var leftBytes: Int = windowBytes

    /** Takes up to [wantedBytes], at most one chunk, and returns how many were granted; 0 means wait. */
    fun take(wantedBytes: Int): Int {
        val granted = minOf(wantedBytes, leftBytes, MAX_CHUNK_BYTES)
        leftBytes -= granted
        return granted
    }

    /** Adds what the receiver allows. Returns false if it allows more than the window, which no receiver may. */
    fun add(bytes: Int): Boolean {
        if (bytes <= 0 || bytes > windowBytes - leftBytes) {
            return false
        }
        leftBytes += bytes
        return true
    }
}

/** Bytes of one body that a receiver holds or has allowed. Not thread-safe: its connection guards it. */
internal class ReceiveCredit(
    private val windowBytes: Int,
) {
    private var allowedBytes: Int = windowBytes
    private var consumedBytes: Int = 0

    /** Notes that [bytes] arrived. Returns false if the sender had no credit for them. */
    fun receive(bytes: Int): Boolean {
        allowedBytes -= bytes
        return allowedBytes >= 0
    }

    /** Notes that [bytes] left the buffer, and returns how many to allow now; 0 means that it is not worth a frame. */
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
