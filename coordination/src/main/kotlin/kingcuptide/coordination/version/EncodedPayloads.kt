package kingcuptide.coordination.version

/** Encoded payloads of the newest content, so that many peers cost one encoding. At most [MAX_ENTRIES]. */
internal class EncodedPayloads(
    private val codec: PayloadCodec,
) {
    private var target: ResourceVersion? = null
    private val byBase = LinkedHashMap<ResourceVersion?, ByteArray>()

    /** Returns the encoded difference from [delta]'s base to [content], or the whole content if [delta] is null. */
    fun encode(content: ResourceContent, delta: ResourceDelta?): ByteArray {
        if (target != content.version) byBase.clear()
        target = content.version
        byBase[delta?.base]?.let { return it }
        val bytes = if (delta == null) codec.encodeWhole(content) else codec.encodeDelta(delta)
        if (byBase.size >= MAX_ENTRIES) byBase.remove(byBase.keys.first())
        byBase[delta?.base] = bytes
        return bytes
    }

    private companion object {
        const val MAX_ENTRIES = 8
    }
}
