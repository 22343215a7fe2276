package kingcuptide.forwarder.connection

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kingcuptide.coordination.request.Distance
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.process.TrafficCounts
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against the load pattern of a restart of many hosts with small processor shares: two connections for each pair of
 * hosts, with their hellos and pings, took more processor time than the start of the process itself.
 */
internal class SharedConnectionTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val clock = ManualClock()

    /** Of the two, [dialer] is the host that connects. */
    private val dialer = Host(FIRST_IP)
    private val other = Host(SECOND_IP)

    @AfterEach
    fun stop() {
        onLoop {
            dialer.mesh.close()
            other.mesh.close()
        }
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    private fun <T> onLoop(block: () -> T): T = loop.submit(Callable { block() }).get(5, TimeUnit.SECONDS)

    private fun await(condition: () -> Boolean) {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5)
        while (!onLoop(condition)) check(System.nanoTime() < until) { "condition not met in 5 s" }
    }

    private fun pass(milliseconds: Int) = repeat(milliseconds / STEP_MS) {
        clock.advance(STEP_MS.milliseconds)
        onLoop { dialer.mesh.tick() }
        onLoop { other.mesh.tick() }
        // Lets the event loop read what the ticks have sent.
        repeat(LOOP_TURNS) { onLoop { } }
    }

    private fun connectBoth() {
        dialer.mesh.listen()
        other.mesh.listen()
        onLoop { dialer.mesh.retain(setOf(SECOND_IP)) }
        onLoop { other.mesh.retain(setOf(FIRST_IP)) }
        await { dialer.mesh.sessionTo(SECOND_IP) != null && other.mesh.sessionTo(FIRST_IP) != null }
    }

    @Nested
    inner class `Given many hosts` {
        private val ips = (0 until 300).map { "10.${it / 50}.0.${it % 50 + 1}" }

        @Test
        fun `when two of them know each other, then exactly one connects`() {
            for (a in ips) for (b in ips) if (a != b) expectThat(PeerMesh.dials(a, b)).isEqualTo(!PeerMesh.dials(b, a))
        }

        @Test
        fun `when each connects to its share, then no host connects to much more than half of the others`() {
            for (a in ips) expectThat(ips.count { it != a && PeerMesh.dials(a, it) }).isIn(100..200)
        }
    }

    @Nested
    inner class `Given two hosts that know each other` {
        @Test
        fun `when both are connected, then one connection serves both`() {
            connectBoth()
            pass(2_000)
            expectThat(listOf(dialer.opened, other.opened)).isEqualTo(listOf(1, 1))
        }

        @Test
        fun `when time passes, then each still gets pings of the other`() {
            connectBoth()
            pass(6_000)
            expectThat(dialer.silences + other.silences).isEqualTo(0)
            expectThat(dialer.pings >= 4 && other.pings >= 4).isTrue()
        }

        @Test
        fun `when the target of the other has left, then the connection of its requests stays open`() {
            connectBoth()
            onLoop { dialer.mesh.retain(emptySet()) }
            pass((PeerMesh.MAX_RETIREMENT + 5.seconds).inWholeMilliseconds.toInt())
            expectThat(onLoop { other.mesh.sessionTo(FIRST_IP) }).isNotNull()
            expectThat(other.silences).isEqualTo(0)
        }

        @Test
        fun `when the host that has connected restarts, then the other connects`() {
            connectBoth()
            onLoop { dialer.mesh.close() }
            await { other.mesh.sessionTo(FIRST_IP) == null }
            val restarted = Host(FIRST_IP)
            restarted.mesh.listen()
            pass(1_000)
            await { other.mesh.sessionTo(FIRST_IP) != null }
            onLoop { restarted.mesh.close() }
        }
    }

    @Test
    fun `Given a host that is not known to the one that should connect, when time passes, then it connects itself`() {
        dialer.mesh.listen()
        onLoop { other.mesh.retain(setOf(FIRST_IP)) }
        pass(1_000)
        await { other.mesh.sessionTo(FIRST_IP) != null }
        expectThat(onLoop { dialer.mesh.sessionTo(SECOND_IP) } != null).isFalse()
    }

    /** Such a daemon sends requests only on connections that it has opened, and gets pings on those alone. */
    @Test
    fun `Given a daemon of an earlier build, when both know each other, then each has its own connection`() {
        val earlier = Host(SECOND_IP, announcedIp = null)
        dialer.mesh.listen()
        earlier.mesh.listen()
        onLoop { dialer.mesh.retain(setOf(SECOND_IP)) }
        onLoop { earlier.mesh.retain(setOf(FIRST_IP)) }
        await { dialer.mesh.sessionTo(SECOND_IP) != null }
        expectThat(onLoop { checkNotNull(dialer.mesh.sessionTo(SECOND_IP)).isOutbound }).isTrue()
        onLoop { earlier.mesh.close() }
    }

    private inner class Host(ip: String, announcedIp: String? = ip) : PeerListener {
        var opened = 0
        var pings = 0
        var silences = 0
        val mesh = PeerMesh(
            loop,
            clock,
            ip,
            PORT,
            PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, ip, "a", 1, ip = announcedIp),
            this,
            { Distance.SAME_REGION },
            { PeerMessage.Ping(emptyList(), 0, 0, false, NO_LOAD, 0, 0) },
            TrafficCounts(clock),
        )

        override fun opened(session: PeerSession) {
            opened++
        }

        override fun received(session: PeerSession, frame: PeerFrame) {
            if (frame.message is PeerMessage.Ping) pings++
        }

        override fun closed(session: PeerSession, reason: String) = Unit

        override fun failed(session: PeerSession, cause: Throwable) = Unit

        override fun silent(session: PeerSession) {
            silences++
        }
    }

    private companion object {
        const val FIRST_IP = "127.0.0.6"
        const val SECOND_IP = "127.0.0.5"
        const val PORT = 17_712
        const val STEP_MS = 100
        const val LOOP_TURNS = 20
        val NO_LOAD = PeerMessage.LoadReport(0, 0, 1, 0, false)
    }
}
