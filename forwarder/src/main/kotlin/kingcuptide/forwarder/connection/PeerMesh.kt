package kingcuptide.forwarder.connection

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.WriteBufferWaterMark
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
 * The connections to other daemons: one for each pair of hosts, which both use for requests, pings and published state.
 *
 * Of two hosts [dials] names the one that connects; the other one connects only if that does not happen, for instance
 * since it is not known there yet. A peer of an earlier build sends requests on its own connection only, so each side of
 * such a pair has one. A connection that is silent for longer than [SILENCE_TIMEOUT], or some pings longer to another
 * region, is replaced. One that is replaced, or whose host has no target any more, stays open until its calls have ended
 * and its peer has another one. Used on the event loop.
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

    /** The latest connection from each address whose daemon also receives requests on it. */
    private val acceptedByIp = HashMap<String, PeerSession>()
    private val heads = EncodedHeads()

    /** Outbound connections that get no further request but still have calls, with the time since. */
    private val retired = LinkedHashMap<PeerSession, Duration>()
    private var connectionCount = 0
    private var server: Channel? = null
    private var isClosed = false
    private var lastPingAt = clock.now()
    private var pingCount = 0

    /** Bytes that were sent to other daemons and that are still in this process; they are lost by [close]. */
    val pendingBytes: Long
        get() = accepted.keys.sumOf { it.pendingBytes } + retired.keys.sumOf { it.pendingBytes } +
            linksByIp.values.sumOf { it.session?.pendingBytes ?: 0L }

    /** Returns one connection to each daemon that is connected, the outbound one where there are two. */
    fun distinctPeers(): Collection<PeerSession> {
        val byHost = LinkedHashMap<String, PeerSession>()
        val outbound = linksByIp.values.mapNotNull { it.session?.takeIf(PeerSession::isOpen) }
        (outbound + accepted.keys).forEach { other -> other.peer?.let { byHost.putIfAbsent(it.host, other) } }
        return byHost.values
    }

    /** Returns the connections on which requests are sent, one for each host that has a target and is connected. */
    fun sessionsInUse(): List<PeerSession> = linksByIp.keys.mapNotNull(::sessionTo)

    /** Returns the connection on which requests to the daemon at [ip] are sent, or null if there is none. */
    fun sessionTo(ip: String): PeerSession? {
        val link = linksByIp[ip] ?: return null
        return link.session?.takeIf { it.isOpen } ?: sharedFrom(ip)
    }

    /** Returns the address to which requests are sent on [session], or null if they go elsewhere. */
    fun ipOf(session: PeerSession): String? = (session.ip ?: session.peer?.ip)?.takeIf { sessionTo(it) === session }

    /** Returns the connection that the daemon at [ip] has opened, if requests may be sent on it and it is not silent. */
    private fun sharedFrom(ip: String): PeerSession? =
        acceptedByIp[ip]?.takeIf { it.isOpen && !isSilent(it, clock.now()) }

    /** Starts to accept connections from other daemons. */
    fun listen() {
        server =
            ServerBootstrap()
                .group(loop)
                .channelFactory { NioServerSocketChannel() }
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readsToEnd())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_BYTES)
                .childHandler(pipelineOf { PeerSession(clock, acceptedListener, hello, isOutbound = false) })
                .bind(InetSocketAddress(ownIp, port))
                .sync()
                .channel()
    }

    /** Keeps a connection to each of [ips], the first of which are connected first, and closes those to others. */
    fun retain(ips: Set<String>) {
        if (isClosed) return
        for (ip in ips) {
            if (ip == ownIp || ip in linksByIp) continue
            val link = Link(ip, connectionCount++)
            linksByIp[ip] = link
            if (!dials(ownIp, ip)) link.retryAt = clock.now() + PEER_DIAL_TIME
            checkLink(link, clock.now())
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
        retired.filter { (session, since) -> hasEnded(session, now - since) }.keys.forEach { it.close() }
    }

    /** Pings the peers that are [concerned] now, without waiting for the next interval. */
    fun pingNow(concerned: (PeerSession) -> Boolean = { true }) {
        val message = ping()
        pingedSessions().keys.forEach { if (concerned(it)) it.send(message) }
    }

    /**
     * Returns the connections on which peers expect pings, each with a number that staggers them: those on which peers send
     * their requests. These are the ones that they have opened, or else the one that this daemon has opened.
     */
    private fun pingedSessions(): Map<PeerSession, Int> {
        val pinged = LinkedHashMap<PeerSession, Int>()
        accepted.forEach { (session, number) -> if (session.isOpen) pinged[session] = number }
        for (link in linksByIp.values) link.session?.takeIf(::isNeededByPeer)?.let { pinged[it] = link.number }
        retired.keys.filter(::isNeededByPeer).forEach { pinged[it] = 0 }
        return pinged
    }

    /**
     * Staggers pings to other regions, so that each region receives some in every interval and can pass on changes. Each
     * message goes to all its peers before the other one, so that it is encoded once.
     */
    private fun sendPings(message: PeerMessage.Ping) {
        val (near, remote) = pingedSessions().entries.partition { isSameRegion(it.key) }
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
            if (!isSilent(session, now)) return
            reportSilence(link, session, now)
            link.retryAt = now + RECONNECT_INTERVAL
            retire(link)
            return
        }
        val shared = acceptedByIp[link.ip]?.takeIf { it.isOpen }
        if (shared != null) {
            if (!isSilent(shared, now)) return
            if (link.silentSession !== shared) reportSilence(link, shared, now)
        }
        if (now >= link.retryAt && !link.connecting) connect(link)
    }

    private fun isSilent(session: PeerSession, now: Duration): Boolean =
        now - session.lastReceivedAt > silenceTimeout(session)

    private fun reportSilence(link: Link, session: PeerSession, now: Duration) {
        val silentMs = (now - session.lastReceivedAt).inWholeMilliseconds
        log.info("peer_silent", "peer" to link.ip, "silent_ms" to silentMs)
        link.silentSession = session
        listener.silent(session)
    }

    /** Whether a connection that has been retired for [age] can be closed without cutting off a call of either side. */
    private fun hasEnded(session: PeerSession, age: Duration): Boolean {
        if (isNeededByPeer(session)) return false
        if (age <= RETIREMENT_GRACE && session.peer?.ip != null && session.isOpen) return false
        return age > MAX_RETIREMENT || !listener.isInUse(session)
    }

    /** Whether the peer sends its requests on [session], which this daemon has opened: it has no other connection. */
    private fun isNeededByPeer(session: PeerSession): Boolean {
        val ip = session.ip
        if (ip == null || session.peer?.ip == null || !session.isOpen || isSilent(session, clock.now())) return false
        val latest = linksByIp[ip]?.session
        return (latest === session || latest?.isOpen != true) && sharedFrom(ip) == null
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
            .option(ChannelOption.RECVBUF_ALLOCATOR, readsToEnd())
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_BYTES)
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
        if (retired.size >= MAX_RETIRED || hasEnded(session, Duration.ZERO)) return disconnect(link)
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
                accepted[session] = connectionCount++
                session.peer?.ip?.let { acceptedByIp[it] = session }
                session.send(ping())
                listener.opened(session)
            }

            override fun closed(session: PeerSession, reason: String) {
                accepted -= session
                session.peer?.ip?.let { sharedClosed(it, session) }
                listener.closed(session, reason)
            }
        }

    private fun sharedClosed(ip: String, session: PeerSession) {
        if (!acceptedByIp.remove(ip, session)) return
        val link = linksByIp[ip] ?: return
        link.retryAt = clock.now() + RECONNECT_INTERVAL + (if (dials(ownIp, ip)) Duration.ZERO else PEER_DIAL_TIME)
    }

    private fun pipelineOf(session: () -> PeerSession) =
        PipelineInitializer { channel ->
            val created = session()
            val codec =
                PeerCodec(heads) { kind, bytes ->
                    counts.sentToPeer(kind, distanceTo(created), bytes)
                }
            channel.pipeline().addLast(created.byteHandler, codec, created)
        }

    private class Link(val ip: String, val number: Int) {
        /** The connection that this daemon has opened. */
        var session: PeerSession? = null

        /** The connection whose silence has been reported last. */
        var silentSession: PeerSession? = null
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

        /** Time for the peer that should connect; it tries again every [RECONNECT_INTERVAL]. */
        private val PEER_DIAL_TIME = 400.milliseconds

        /** Time for requests that a peer has sent before it knew that the connection has been replaced. */
        private val RETIREMENT_GRACE = 1.seconds
        private const val MAX_RETIRED = 256
        private val RECONNECT_INTERVAL = 300.milliseconds
        private const val BACKLOG = 1_024

        /** Bytes that the system does not take yet, above which requests wait where they can be withdrawn. */
        private val UNSENT_BYTES = WriteBufferWaterMark(8 * 1024, 16 * 1024)
        private val log = eventLog("peers")

        /** Returns whether of two hosts the one at [ip] connects to the one at [otherIp]; true for exactly one of them. */
        internal fun dials(ip: String, otherIp: String): Boolean {
            val isOddPair = (ip.hashCode() + otherIp.hashCode()) and 1 == 1
            return (ip < otherIp) != isOddPair
        }
    }
}
