package kingcuptide.forwarder.connection

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

/**
 * Returns an allocator that has a socket read until it has nothing left, so that the end of the connection is read in the
 * same round of I/O as the last bytes before it.
 */
internal fun readsToEnd(): RecvByteBufAllocator =
    AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS)

/** Reads of one socket in a round of I/O; the others have their turn after these. */
private const val MAX_READS = 16
