package kingcuptide.forwarder.connection

import io.netty.channel.Channel

/** Bytes that were written to this channel and that the system has not taken yet; to be read on its event loop. */
internal val Channel.pendingBytes: Long get() = unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0L
