package kingcuptide.forwarder.connection

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.Distance
import kingcuptide.forwarder.process.TrafficCounts
import kingcuptide.forwarder.process.eventLog
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The connections to other daemons: an outbound one to each host that has a target, and those accepted from others.
 *
 * Requests are sent on outbound connections and received on accepted ones; published state goes both ways. A connection
 * that is silent for longer than [SILENCE_TIMEOUT], or some pings longer to another region, is replaced. One that is
 * replaced, or whose host has no target any more, stays open until its calls have ended. Used on the event loop.
 */
class PeerMesh(
    private val loop: EventLoop,
    private val clock: Clock,
    private val ownIp: String,
    private val port: Int,
    private val hello: PeerMessage.Hello,
    private val listener: PeerListener,
    private val distanceTo: (PeerSession) -> Distance,
    private val ping: () -> PeerMessage.Ping,
    private val counts: TrafficCounts,
) {
    private val linksByIp = LinkedHashMap<String, Link>()
    private val accepted = LinkedHashMap<PeerSession, Int>()
    private val heads = EncodedHeads()

    /** Outbound connections that get no further request but still have calls, with the time since. */
    private val retired = LinkedHashMap<PeerSession, Duration>()
    private var acceptedCount = 0
    private var server: Channel? = null
    private var isClosed = false
    private var lastPingAt = clock.now()
    private var pingCount = 0

    /** Returns one connection to each daemon that is connected, the outbound one where there are two. */
    fun distinctPeers(): Collection<PeerSession> {
        val byHost = LinkedHashMap<String, PeerSession>()
        (outboundSessions() + accepted.keys).forEach { other -> other.peer?.let { byHost.putIfAbsent(it.host, other) } }
        return byHost.values
    }

    /** Returns the outbound connections that are open. */
    fun outboundSessions(): List<PeerSession> = linksByIp.values.mapNotNull { it.session?.takeIf(PeerSession::isOpen) }

    /** Returns the outbound connection to the daemon at [ip] if it is open. */
    fun outboundSession(ip: String): PeerSession? = linksByIp[ip]?.session?.takeIf { it.isOpen }

    /** Returns the address to which [session] is the outbound connection in use, or null if it is not. */
    fun outboundIpOf(session: PeerSession): String? = session.ip?.takeIf { outboundSession(it) === session }

    /** Starts to accept connections from other daemons. */
    fun listen() {
        server =
            ServerBootstrap()
                .group(loop)
                .channelFactory { NioServerSocketChannel() }
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipelineOf { PeerSession(clock, acceptedListener, hello, isOutbound = false) })
                .bind(InetSocketAddress(ownIp, port))
                .sync()
                .channel()
    }

    /** Keeps an outbound connection to each of [ips], and closes those to others. */
    fun retain(ips: Set<String>) {
        if (isClosed) return
        for (ip in ips) {
            if (ip != ownIp && ip !in linksByIp) linksByIp[ip] = Link(ip).also { connect(it) }
        }
        for (ip in linksByIp.keys - ips) linksByIp.remove(ip)?.let(::retire)
    }

    /** Pings, replaces silent connections and reconnects lost ones; called at least every [MAX_TICK_INTERVAL]. */
    fun tick() {
        if (isClosed) return
        val now = clock.now()
        if (now - lastPingAt >= PING_INTERVAL) {
            lastPingAt = now
            pingCount++
            sendPings(ping())
        }
        for (link in linksByIp.values) checkLink(link, now)
        retired.filter { (session, since) -> !listener.isInUse(session) || now - since > MAX_RETIREMENT }
            .keys.forEach { it.close() }
    }

    /** Pings the accepted peers that are [concerned] now, without waiting for the next interval. */
    fun pingNow(concerned: (PeerSession) -> Boolean = { true }) {
        val message = ping()
        accepted.keys.forEach { if (it.isOpen && concerned(it)) it.send(message) }
    }

    /**
     * Staggers pings to other regions, so that each region receives some in every interval and can pass on changes. Each
     * message goes to all its peers before the other one, so that it is encoded once.
     */
    private fun sendPings(message: PeerMessage.Ping) {
        val (near, remote) = accepted.entries.filter { it.key.isOpen }.partition { isSameRegion(it.key) }
        near.forEach { it.key.send(message) }
        val isBrief = pingCount / PINGS_PER_REMOTE_PING % REMOTE_PINGS_PER_WHOLE_REPORT != 0
        val remoteMessage = if (isBrief) message.copy(loadReport = message.loadReport.brief()) else message
        val turn = pingCount % PINGS_PER_REMOTE_PING
        remote.filter { it.value % PINGS_PER_REMOTE_PING == turn }.forEach { it.key.send(remoteMessage) }
    }

    /** Closes all connections for good; a connection that is being opened is closed once it is open. */
    fun close() {
        isClosed = true
        server?.close()
        linksByIp.values.forEach(::disconnect)
        retired.keys.toList().forEach { it.close() }
        accepted.keys.toList().forEach { it.close() }
    }

    private fun checkLink(link: Link, now: Duration) {
        val session = link.session
        if (session != null) {
            if (now - session.lastReceivedAt > silenceTimeout(session)) {
                log.info(
                    "peer_silent",
                    "peer" to link.ip,
                    "silent_ms" to (now - session.lastReceivedAt).inWholeMilliseconds,
                )
                link.retryAt = now + RECONNECT_INTERVAL
                listener.silent(session)
                retire(link)
            }
            return
        }
        if (now >= link.retryAt && !link.connecting) connect(link)
    }

    private fun isSameRegion(session: PeerSession): Boolean = distanceTo(session) != Distance.OTHER_REGION

    private fun silenceTimeout(session: PeerSession): Duration =
        if (isSameRegion(session)) SILENCE_TIMEOUT else SILENCE_TIMEOUT + PING_INTERVAL * (PINGS_PER_REMOTE_PING - 1)

    private fun connect(link: Link) {
        link.connecting = true
        val session = PeerSession(clock, outboundListener(link), hello, isOutbound = true, link.ip)
        Bootstrap()
            .group(loop)
            .channelFactory { NioSocketChannel() }
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .handler(pipelineOf { session })
            .connect(InetSocketAddress(link.ip, port))
            .addListener { done ->
                link.connecting = false
                when {
                    isClosed -> session.close()
                    done.isSuccess -> link.session = session
                    else -> link.retryAt = clock.now() + RECONNECT_INTERVAL
                }
            }
    }

    /** Uses the connection of [link] for no further request; it is closed at once if no call waits on it. */
    private fun retire(link: Link) {
        val session = link.session ?: return
        if (retired.size >= MAX_RETIRED || !listener.isInUse(session)) return disconnect(link)
        link.session = null
        retired[session] = clock.now()
    }

    private fun disconnect(link: Link) {
        val session = link.session ?: return
        link.session = null
        session.close()
    }

    private fun outboundListener(link: Link): PeerListener =
        object : PeerListener by listener {
            override fun closed(session: PeerSession, reason: String) {
                retired -= session
                if (link.session === session) {
                    link.session = null
                    link.retryAt = clock.now() + RECONNECT_INTERVAL
                }
                listener.closed(session, reason)
            }
        }

    private val acceptedListener: PeerListener =
        object : PeerListener by listener {
            override fun opened(session: PeerSession) {
                accepted[session] = acceptedCount++
                session.send(ping())
                listener.opened(session)
            }

            override fun closed(session: PeerSession, reason: String) {
                accepted -= session
                listener.closed(session, reason)
            }
        }

    private fun pipelineOf(session: () -> PeerSession) =
        PipelineInitializer { channel ->
            val created = session()
            val codec =
                PeerCodec(heads) { kind, bytes ->
                    counts.sentToPeer(kind, distanceTo(created), bytes)
                }
            channel.pipeline().addLast(codec, created)
        }

    private class Link(val ip: String) {
        var session: PeerSession? = null
        var connecting = false
        var retryAt: Duration = Duration.ZERO
    }

    companion object {
        /** Longest allowed time between two calls of [tick]. */
        val MAX_TICK_INTERVAL: Duration = 100.milliseconds

        /** Interval of pings to peers of the own region that opened a connection. */
        val PING_INTERVAL: Duration = 1.seconds

        /** Ping intervals per ping to a peer of another region: there are many of these, and their bytes cost most. */
        const val PINGS_PER_REMOTE_PING = 3

        /** Pings to a peer of another region of which one has a whole load report; responses have one, too. */
        private const val REMOTE_PINGS_PER_WHOLE_REPORT = 2

        /** Silence after which a connection counts as dead: 2.5 ping intervals. */
        val SILENCE_TIMEOUT: Duration = 2_500.milliseconds

        /** Time after which a connection that is no longer used is closed although calls wait; most routes are faster. */
        val MAX_RETIREMENT: Duration = 30.seconds
        private val CONNECT_TIMEOUT = 1.seconds
        private const val MAX_RETIRED = 256
        private val RECONNECT_INTERVAL = 300.milliseconds
        private const val BACKLOG = 1_024
        private val log = eventLog("peers")
    }
}
