package kingcuptide.forwarder.connection

import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.SimpleChannelInboundHandler
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kotlin.time.Duration

/**
 * One connection to another daemon, whichever side opened it. Used on its event loop.
 *
 * @property ip address of the peer if this side opened the connection
 */
class PeerSession internal constructor(
    private val clock: Clock,
    private val listener: PeerListener,
    private val hello: PeerMessage.Hello,
    val isOutbound: Boolean,
    internal val ip: String? = null,
) : SimpleChannelInboundHandler<PeerFrame>(),
    PingingPeer {
    private var channel: Channel? = null

    /** Belongs before the codec in the pipeline. */
    internal val byteHandler: ChannelHandler = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            lastReceivedAt = clock.now()
            context.fireChannelRead(message)
        }
    }

    /** Frames that wait until the peer has read more, with the time since which they wait. */
    private val unsent = LinkedHashMap<DelayedFrame, Duration>()

    /** Bytes of bodies that were sent since the first frame of [unsent] could have been. */
    private var overtakingBytes = 0L

    /** The hello of the peer, null until it has arrived. */
    var peer: PeerMessage.Hello? = null
        private set

    override val host: String? get() = peer?.host

    override var lastPing: PeerMessage.Ping? = null
        private set

    override var lastPingAt: Duration = Duration.ZERO
        private set

    /** When the last bytes arrived: a long message takes long to arrive, and those behind it wait. */
    override var lastReceivedAt: Duration = clock.now()
        private set

    override val failureDomain: FailureDomainId? get() = peer?.let { FailureDomainId(it.failureDomain) }

    override val isOpen: Boolean get() = peer != null && channel?.isActive == true

    /** Bytes that were sent and that are still in this process. */
    internal val pendingBytes: Long get() = channel?.pendingBytes ?: 0L

    override fun send(message: PeerMessage) = send(message, NO_BYTES)

    fun send(message: PeerMessage, body: ByteArray) {
        channel?.writeAndFlush(PeerFrame(message, body))
        if (unsent.isEmpty()) return
        overtakingBytes += body.size
        if (overtakingBytes >= MAX_OVERTAKING_BYTES) channel?.takeIf(Channel::isActive)?.let(::sendFirstUnsent)
    }

    /**
     * Sends [frame] as soon as the peer reads fast enough, so that [withdraw] can take it back until then. Messages of [send]
     * overtake it, at most [MAX_OVERTAKING_BYTES] of their bodies for each frame that waits.
     */
    fun sendWhenWritable(frame: DelayedFrame) {
        unsent[frame] = clock.now()
        sendUnsent()
    }

    /** Takes back a frame of [sendWhenWritable]. Returns whether no byte of it has been sent or will be. */
    fun withdraw(frame: DelayedFrame): Boolean = unsent.remove(frame) != null

    private fun sendUnsent() {
        val channel = channel ?: return
        while (unsent.isNotEmpty() && channel.isWritable) sendFirstUnsent(channel)
    }

    private fun sendFirstUnsent(channel: Channel) {
        val (frame, since) = unsent.entries.first()
        unsent -= frame
        overtakingBytes = 0
        channel.writeAndFlush(frame.after(clock.now() - since))
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        sendUnsent()
        context.fireChannelWritabilityChanged()
    }

    fun close() {
        channel?.close()
    }

    override fun isSharable(): Boolean = false

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        lastReceivedAt = clock.now()
        send(hello)
    }

    override fun channelRead0(context: ChannelHandlerContext, frame: PeerFrame) {
        when (val message = frame.message) {
            is PeerMessage.Hello -> helloReceived(context, message)
            is PeerMessage.Ping -> {
                lastPing = message
                lastPingAt = clock.now()
                listener.received(this, frame)
            }
            else -> listener.received(this, frame)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = listener.closed(this, "closed")

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        listener.failed(this, cause)
        context.close()
    }

    private fun helloReceived(context: ChannelHandlerContext, received: PeerMessage.Hello) {
        if (received.protocol != PeerCodec.PROTOCOL_VERSION) {
            listener.failed(this, IllegalStateException("unsupported protocol version ${received.protocol}"))
            context.close()
            return
        }
        peer = received
        listener.opened(this)
    }

    private companion object {
        const val MAX_OVERTAKING_BYTES = 256L * 1024
    }
}

/** A frame that depends on how long it has waited; equal only to itself. */
fun interface DelayedFrame {
    fun after(waited: Duration): PeerFrame
}

/** Receives the events of connections to other daemons. */
interface PeerListener {
    fun opened(session: PeerSession)

    fun received(session: PeerSession, frame: PeerFrame)

    fun closed(session: PeerSession, reason: String)

    fun failed(session: PeerSession, cause: Throwable)

    /** The peer has been silent for too long: calls that may be repeated elsewhere need not wait for it. */
    fun silent(session: PeerSession) = Unit

    /** Returns whether calls that were sent on [session] have no result yet. */
    fun isInUse(session: PeerSession): Boolean = false
}
