package kingcuptide.forwarder.connection

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.CallerLimits
import kotlinx.coroutines.CoroutineScope
import java.net.InetSocketAddress

/** Takes requests from callers and from the target on this host. Used on the event loop. */
class CallerServer(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val address: InetSocketAddress,
    private val limits: () -> CallerLimits,
    private val serve: suspend (CallerRequest) -> BufferedResponse,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var server: Channel? = null

    /** Requests that wait for their answer. */
    val inFlight: Int get() = connections.count { it.isServing }

    fun listen() {
        server =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = accept(channel)
                    },
                ).bind(address)
                .sync()
                .channel()
    }

    /** Ends connections that are slow or idle beyond their limits; called a few times a second. */
    fun tick() {
        val current = limits()
        connections.toList().forEach { it.checkTime(current) }
    }

    /** From here on each answer tells its caller that the connection closes. */
    fun closeAfterAnswers() {
        connections.forEach { it.closesAfterAnswer = true }
        closing = true
    }

    /** Takes no further connections, closes the idle ones and answers what is still at work as lost. */
    fun close() {
        server?.close()
        val open = connections.toList()
        open.filter { !it.isServing }.forEach { it.close() }
        open.forEach { it.giveUp() }
    }

    private var closing = false

    private fun accept(channel: SocketChannel) {
        val connection =
            CallerConnection(
                scope,
                clock,
                limits(),
                fromTarget = channel.remoteAddress().address == address.address,
                serve,
                onClosed = { connections -= it },
            )
        connection.closesAfterAnswer = closing
        connections += connection
        channel.pipeline().addLast(
            connection.byteWatch,
            StrictRequestDecoder(limits().maxHeadBytes),
            HttpResponseEncoder(),
            connection,
        )
    }

    private companion object {
        const val BACKLOG = 4_096
    }
}
