package kingcuptide.forwarder.connection

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.StartQueue
import kotlinx.coroutines.CoroutineScope
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Accepts requests from callers and from the target on this host. Used on the event loop.
 *
 * @param refuseByHead returns the refusal of a request of which only the head has arrived, or null
 * @param isIdempotent whether a request may start before the responses of those before it on its connection are written
 * @param refuseAtStop returns the refusal of a request that has not started when the server closes
 */
class CallerServer(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val address: InetSocketAddress,
    private val limits: () -> CallerLimits,
    private val refuseByHead: (CallerRequest) -> BufferedResponse? = { null },
    private val isIdempotent: (CallerRequest) -> Boolean = { false },
    private val refuseAtStop: (CallerRequest) -> BufferedResponse = { CallerConnection.REFUSED_AT_STOP },
    private val starts: StartQueue = StartQueue(loop, clock),
    private val serve: suspend (CallerRequest) -> BufferedResponse,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private val buffers = BufferLimit(MAX_BUFFERED_BYTES)
    private val counts = PipelineCounts()
    private var server: Channel? = null

    /** Number of requests that wait for their response. */
    val inFlight: Int get() = connections.sumOf { it.runningCount }

    /** Whether each request that was read has its response, and no byte of one is left in this process. */
    val isIdle: Boolean get() = connections.all { it.isIdle }

    fun listen() {
        server =
            ServerBootstrap()
                .group(loop)
                .channelFactory { NioServerSocketChannel() }
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG),
                )
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readsToEnd())
                .childHandler(PipelineInitializer(::accept))
                .bind(address)
                .sync()
                .channel()
    }

    /** Registers the counts of pipelined requests in [metrics]. */
    fun registerIn(metrics: DaemonMetrics) {
        metrics.registerCounter("kingcuptide_caller_request_starts", mapOf("start" to "in_turn")) { counts.inTurn }
        metrics.registerCounter("kingcuptide_caller_request_starts", mapOf("start" to "early")) { counts.early }
        metrics.registerGauge("kingcuptide_held_response_bytes") { connections.sumOf { it.heldBytes } }
    }

    /** Ends connections that exceed their time limits; called a few times a second. */
    fun tick() {
        val current = limits()
        connections.toList().forEach { it.checkTimeouts(current) }
    }

    /** From now on each connection closes after the responses to what has arrived, the last of which announces it. */
    fun closeAfterResponses() {
        connections.forEach { it.closesAfterResponse = true }
        closing = true
    }

    /**
     * Ends running requests with an unknown outcome, refuses all others, stops accepting and, after [CLOSE_TIME], has closed
     * all connections.
     *
     * Until then it refuses the requests that have arrived: the system has accepted their connections, or their bytes.
     */
    fun close() {
        closeAfterResponses()
        refusesAll = true
        connections.toList().forEach { it.endRequests() }
        loop.schedule(::endAccepting, ACCEPT_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /**
     * The time to read counts from here: on a slow host one turn of the event loop, which accepts many connections, can
     * take longer than [CLOSE_TIME], and they would be closed before the first read.
     */
    private fun endAccepting() {
        server?.close()
        val readTime = CLOSE_TIME - ACCEPT_TIME
        loop.schedule(::endConnections, readTime.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun endConnections() {
        connections.toList().forEach { it.endAtStop() }
    }

    private var closing = false
    private var refusesAll = false

    private fun accept(channel: Channel) {
        val connection =
            CallerConnection(
                scope,
                clock,
                limits(),
                buffers,
                serve,
                refuseByHead,
                isIdempotent,
                refuseAtStop,
                counts,
                starts,
                onClosed = { connections -= it },
            )
        connection.closesAfterResponse = closing
        connection.refusesAll = refusesAll
        connections += connection
        channel.pipeline().addLast(
            connection.activityHandler,
            StrictRequestDecoder(limits().maxHeadBytes),
            HttpResponseEncoder(),
            connection,
        )
    }

    companion object {
        /** Time from [close] until no connection is accepted; one turn of the event loop accepts all that wait. */
        private val ACCEPT_TIME = 20.milliseconds

        /** Time from [close] until all connections are closed; enough for bytes that have arrived to be read. */
        val CLOSE_TIME: Duration = 60.milliseconds
        private const val BACKLOG = 4_096

        /** Bodies of all requests that are received or served at once; a third of the heap of 96 MiB. */
        private const val MAX_BUFFERED_BYTES = 32L * 1024 * 1024
    }
}
