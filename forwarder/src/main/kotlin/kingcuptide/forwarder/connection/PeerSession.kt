package kingcuptide.forwarder.connection

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import kingcuptide.coordination.process.Clock
import kotlin.time.Duration

/** One connection to another daemon, whichever side opened it. Used on its event loop. */
class PeerSession internal constructor(
    private val clock: Clock,
    private val listener: PeerListener,
    private val greeting: PeerMessage.Hello,
    val isOwn: Boolean,
) : SimpleChannelInboundHandler<PeerFrame>() {
    private var channel: Channel? = null

    /** Who is at the other end, once it has said so. */
    var peer: PeerMessage.Hello? = null
        private set

    /** The last that the peer said of itself. */
    var lastPing: PeerMessage.Ping? = null
        private set

    /** When [lastPing] came. */
    var lastPingAt: Duration = Duration.ZERO
        private set

    /** When anything came. */
    var lastHeardAt: Duration = clock.now()
        private set

    val isOpen: Boolean get() = peer != null && channel?.isActive == true

    fun send(message: PeerMessage, body: ByteArray = NO_BYTES) {
        channel?.writeAndFlush(PeerFrame(message, body))
    }

    fun close() {
        channel?.close()
    }

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        lastHeardAt = clock.now()
        send(greeting)
    }

    override fun channelRead0(context: ChannelHandlerContext, frame: PeerFrame) {
        lastHeardAt = clock.now()
        when (val message = frame.message) {
            is PeerMessage.Hello -> greeted(context, message)
            is PeerMessage.Ping -> {
                lastPing = message
                lastPingAt = lastHeardAt
                listener.received(this, frame)
            }
            else -> listener.received(this, frame)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = listener.closed(this, "closed")

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        listener.failed(this, cause)
        context.close()
    }

    private fun greeted(context: ChannelHandlerContext, hello: PeerMessage.Hello) {
        if (hello.protocol != PeerCodec.PROTOCOL) {
            listener.failed(this, IllegalStateException("protocol ${hello.protocol}"))
            context.close()
            return
        }
        peer = hello
        listener.opened(this)
    }
}

/** Hears what happens on connections to other daemons. */
interface PeerListener {
    fun opened(session: PeerSession)

    fun received(session: PeerSession, frame: PeerFrame)

    fun closed(session: PeerSession, reason: String)

    fun failed(session: PeerSession, cause: Throwable)
}
