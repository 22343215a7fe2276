package kingcuptide.forwarder.connection

/**
 * The latest message of each class that is sent to many peers, with its encoded head, so that it is encoded once for all of
 * them. Used by the codecs of one event loop.
 */
internal class EncodedHeads {
    private val latestByClass = HashMap<Class<out PeerMessage>, Pair<PeerMessage, Head>>()

    /** Returns the head of a message that equals [message], or null if the latest of its class is another one. */
    fun find(message: PeerMessage): Head? =
        latestByClass[message.javaClass]?.let { (latest, head) -> head.takeIf { latest == message } }

    /** Keeps the [head] of [message] in place of the previous one of its class. */
    fun keep(message: PeerMessage, head: Head) {
        latestByClass[message.javaClass] = message to head
    }

    /** The bytes of an encoded head; not to be changed. */
    class Head(
        val bytes: ByteArray,
        val isCompressed: Boolean,
    )
}
