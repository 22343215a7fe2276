package kingcuptide.forwarder.connection

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import kingcuptide.coordination.process.Clock
import kingcuptide.forwarder.process.TrafficCounts
import kingcuptide.forwarder.process.eventLog
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The connections to other daemons: one opened to each host that has a target, and those that others opened.
 *
 * Requests go out on the own ones and come in on the others'; what is published goes both ways. A connection that is
 * silent for longer than [SILENCE_LIMIT], or some pings more to another region, is replaced. Used on the event loop.
 */
class PeerMesh(
    private val loop: EventLoop,
    private val clock: Clock,
    private val ownIp: String,
    private val port: Int,
    private val greeting: PeerMessage.Hello,
    private val listener: PeerListener,
    private val isNear: (PeerSession) -> Boolean,
    private val ping: () -> PeerMessage.Ping,
    private val counts: TrafficCounts,
) {
    private val links = LinkedHashMap<String, Link>()
    private val taken = LinkedHashMap<PeerSession, Int>()
    private var turns = 0
    private var server: Channel? = null
    private var pingedAt = clock.now()
    private var pings = 0

    /** One connection to each daemon that can be reached, the own one where there are two. */
    fun distinctPeers(): Collection<PeerSession> {
        val byHost = LinkedHashMap<String, PeerSession>()
        (ownSessions() + taken.keys).forEach { session -> session.peer?.let { byHost.putIfAbsent(it.host, session) } }
        return byHost.values
    }

    /** The own connections that are open. */
    fun ownSessions(): List<PeerSession> = links.values.mapNotNull { it.session?.takeIf(PeerSession::isOpen) }

    /** Returns the own connection to the daemon at [ip] if it is open. */
    fun open(ip: String): PeerSession? = links[ip]?.session?.takeIf { it.isOpen }

    /** Listens for other daemons. */
    fun listen() {
        server =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipelineOf { PeerSession(clock, listenerOfTaken, greeting, isOwn = false) })
                .bind(InetSocketAddress(ownIp, port))
                .sync()
                .channel()
    }

    /** Keeps a connection to each of [ips], and closes those to others. */
    fun retain(ips: Set<String>) {
        for (ip in ips) {
            if (ip != ownIp && ip !in links) links[ip] = Link(ip).also { connect(it) }
        }
        for (ip in links.keys - ips) links.remove(ip)?.let(::drop)
    }

    /** Pings, replaces silent connections and tries lost ones again; called at least every [TICK]. */
    fun tick() {
        val now = clock.now()
        if (now - pingedAt >= PING_INTERVAL) {
            pingedAt = now
            pings++
            sendPings(ping())
        }
        for (link in links.values) checkLink(link, now)
    }

    /** Tells all peers at once what would otherwise come with the next pings. */
    fun pingNow() {
        val message = ping()
        taken.keys.forEach { if (it.isOpen) it.send(message) }
    }

    /** Far peers get theirs in turn, so that each region hears something at every pace and passes it on. */
    private fun sendPings(message: PeerMessage.Ping) {
        for ((session, turn) in taken) {
            val isDue = isNear(session) || turn % FAR_PINGS == pings % FAR_PINGS
            if (session.isOpen && isDue) session.send(message)
        }
    }

    /** Closes all connections. */
    fun close() {
        server?.close()
        links.values.forEach(::drop)
        taken.keys.toList().forEach { it.close() }
    }

    private fun checkLink(link: Link, now: Duration) {
        val session = link.session
        if (session != null) {
            if (now - session.lastHeardAt > silenceLimit(session)) {
                log.info(
                    "peer_silent",
                    "peer" to link.ip,
                    "silent_ms" to (now - session.lastHeardAt).inWholeMilliseconds,
                )
                session.close()
            }
            return
        }
        if (now >= link.retryAt && !link.connecting) connect(link)
    }

    private fun silenceLimit(session: PeerSession): Duration =
        if (isNear(session)) SILENCE_LIMIT else SILENCE_LIMIT + PING_INTERVAL * (FAR_PINGS - 1)

    private fun connect(link: Link) {
        link.connecting = true
        val session = PeerSession(clock, listenerOf(link), greeting, isOwn = true)
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .handler(pipelineOf { session })
            .connect(InetSocketAddress(link.ip, port))
            .addListener { done ->
                link.connecting = false
                if (done.isSuccess) link.session = session else link.retryAt = clock.now() + RETRY_INTERVAL
            }
    }

    private fun drop(link: Link) {
        val session = link.session ?: return
        link.session = null
        session.close()
    }

    private fun listenerOf(link: Link): PeerListener =
        object : PeerListener by listener {
            override fun closed(session: PeerSession, reason: String) {
                if (link.session === session) {
                    link.session = null
                    link.retryAt = clock.now() + RETRY_INTERVAL
                }
                listener.closed(session, reason)
            }
        }

    private val listenerOfTaken: PeerListener =
        object : PeerListener by listener {
            override fun opened(session: PeerSession) {
                taken[session] = turns++
                session.send(ping())
                listener.opened(session)
            }

            override fun closed(session: PeerSession, reason: String) {
                taken -= session
                listener.closed(session, reason)
            }
        }

    private fun pipelineOf(session: () -> PeerSession): ChannelInitializer<Channel> =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                val ofChannel = session()
                val codec = PeerCodec { kind, bytes -> counts.toPeer(kind, isFar = !isNear(ofChannel), bytes) }
                channel.pipeline().addLast(codec, ofChannel)
            }
        }

    private class Link(val ip: String) {
        var session: PeerSession? = null
        var connecting = false
        var retryAt: Duration = Duration.ZERO
    }

    companion object {
        /** Longest time between two calls of [tick]. */
        val TICK: Duration = 100.milliseconds

        /** Pace of pings to those in the own region who opened a connection. */
        val PING_INTERVAL: Duration = 1.seconds

        /** Every how many pings one goes to a peer of another region: these are many, and their bytes cost most. */
        const val FAR_PINGS = 3

        /** Silence after which a connection is held to be dead: two pings and a half. */
        val SILENCE_LIMIT: Duration = 2_500.milliseconds
        private val CONNECT_TIMEOUT = 1.seconds
        private val RETRY_INTERVAL = 300.milliseconds
        private const val BACKLOG = 1_024
        private val log = eventLog("peers")
    }
}
