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

/** Accepts requests from callers and from the target on this host. Used on the event loop. */
class CallerServer(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val address: InetSocketAddress,
    private val limits: () -> CallerLimits,
    private val serve: suspend (CallerRequest) -> BufferedResponse,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private val buffers = BufferLimit(MAX_BUFFERED_BYTES)
    private var server: Channel? = null

    /** Number of requests that wait for their response. */
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

    /** Ends connections that exceed their time limits; called a few times a second. */
    fun tick() {
        val current = limits()
        connections.toList().forEach { it.checkTimeouts(current) }
    }

    /** From now on each connection closes after its next response, which announces it. */
    fun closeAfterResponses() {
        connections.forEach { it.closesAfterResponse = true }
        closing = true
    }

    /** Stops accepting, closes idle connections and ends running requests with an unknown outcome. */
    fun close() {
        server?.close()
        val open = connections.toList()
        open.filter { !it.isServing }.forEach { it.close() }
        open.forEach { it.abortRequest() }
    }

    private var closing = false

    private fun accept(channel: SocketChannel) {
        val connection =
            CallerConnection(
                scope,
                clock,
                limits(),
                buffers,
                serve,
                onClosed = { connections -= it },
            )
        connection.closesAfterResponse = closing
        connections += connection
        channel.pipeline().addLast(
            connection.activityHandler,
            StrictRequestDecoder(limits().maxHeadBytes),
            HttpResponseEncoder(),
            connection,
        )
    }

    private companion object {
        const val BACKLOG = 4_096

        /** Bodies of all requests that are received or served at once; a third of the heap of 96 MiB. */
        const val MAX_BUFFERED_BYTES = 32L * 1024 * 1024
    }
}
