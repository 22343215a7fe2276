package kingcuptide.coordination.version

/** Cache of the encoded payloads of the newest content for all peers, by delta base. At most [MAX_ENTRIES] entries. */
internal class EncodedPayloads(
    private val codec: PayloadCodec,
) {
    private var target: ResourceVersion? = null
    private val byBase = LinkedHashMap<ResourceVersion?, ByteArray>()

    /** Returns the encoded [delta] to [content], or the encoded whole content if [delta] is null. */
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
