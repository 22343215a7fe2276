package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf

/**
 * The bytes of a body as they arrive, in blocks: one array that grows would need three times its size while it is copied to
 * a larger one. Not thread-safe.
 */
internal class BodyBuffer {
    private val blocks = ArrayList<ByteArray>()
    private var freeInLast = 0

    var size = 0
        private set

    /** Appends all readable bytes of [bytes]. */
    fun append(bytes: ByteBuf) {
        while (bytes.isReadable) {
            if (freeInLast == 0) addBlock()
            val block = blocks.last()
            val count = minOf(freeInLast, bytes.readableBytes())
            bytes.readBytes(block, block.size - freeInLast, count)
            freeInLast -= count
            size += count
        }
    }

    fun toByteArray(): ByteArray {
        val whole = ByteArray(size)
        var copied = 0
        for (block in blocks) {
            val count = minOf(block.size, size - copied)
            block.copyInto(whole, copied, 0, count)
            copied += count
        }
        return whole
    }

    private fun addBlock() {
        val blockBytes = if (blocks.isEmpty()) FIRST_BLOCK_BYTES else minOf(blocks.last().size * 2, MAX_BLOCK_BYTES)
        blocks += ByteArray(blockBytes)
        freeInLast = blockBytes
    }

    private companion object {
        const val FIRST_BLOCK_BYTES = 1_024
        const val MAX_BLOCK_BYTES = 65_536
    }
}
