package kingcuptide.forwarder.connection

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kingcuptide.coordination.request.Distance
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.process.TrafficCounts
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isTrue
import java.util.concurrent.Callable
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * Guards against the load pattern of many hosts in several regions, of whose bytes between regions two fifths were run
 * times and demand that hardly change from one ping to the next.
 */
internal class RemotePingTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val clock = ManualClock()
    private val areBrief = LinkedBlockingQueue<Boolean>()
    private val load = PeerMessage.LoadReport(0, 0, 1, 0, false, runTimes = listOf(1, 2), demand = listOf(1, 2, 3, 4))

    @AfterEach
    fun stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    private fun meshAt(ip: String, distance: Distance) = PeerMesh(
        loop,
        clock,
        ip,
        PORT,
        PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, ip, "a", 1),
        PingListener(),
        { distance },
        { PeerMessage.Ping(emptyList(), 0, 0, false, load, 0, 0) },
        TrafficCounts(clock),
    )

    private fun <T> onLoop(block: () -> T): T =
        loop.submit(Callable { block() }).get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)

    private fun pingsAfter(distance: Distance, rounds: Int): List<Boolean> {
        val sender = meshAt(SENDER, distance).also { it.listen() }
        val receiver = meshAt(RECEIVER, distance)
        onLoop { receiver.retain(setOf(SENDER)) }
        val pings = ArrayList<Boolean>()
        pings += awaitPing()
        repeat(rounds) {
            clock.advance(PeerMesh.PING_INTERVAL)
            onLoop { sender.tick() }
            if (distance != Distance.OTHER_REGION || it % PeerMesh.PINGS_PER_REMOTE_PING == 2) pings += awaitPing()
        }
        expectThat(areBrief.isEmpty()).isTrue()
        onLoop {
            receiver.close()
            sender.close()
        }
        return pings
    }

    private fun awaitPing(): Boolean = checkNotNull(areBrief.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)) { "no ping" }

    @Test
    fun `Given a peer of another region, when it is pinged, then each second load report is brief`() {
        expectThat(pingsAfter(Distance.OTHER_REGION, rounds = 12)).containsExactly(false, true, false, true, false)
    }

    @Test
    fun `Given a peer of the own region, when it is pinged, then each load report is whole`() {
        expectThat(pingsAfter(Distance.SAME_REGION, rounds = 3)).containsExactly(false, false, false, false)
    }

    private inner class PingListener : PeerListener {
        override fun opened(session: PeerSession) = Unit

        override fun received(session: PeerSession, frame: PeerFrame) {
            val ping = frame.message as? PeerMessage.Ping ?: return
            if (session.isOutbound) areBrief += ping.loadReport.isBrief
        }

        override fun closed(session: PeerSession, reason: String) = Unit

        override fun failed(session: PeerSession, cause: Throwable) = Unit
    }

    private companion object {
        const val SENDER = "127.0.0.3"
        const val RECEIVER = "127.0.0.4"
        const val PORT = 17_711
        const val MAX_WAIT_SECONDS = 5L
    }
}
