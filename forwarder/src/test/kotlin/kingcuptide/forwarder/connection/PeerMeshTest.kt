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
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.Callable
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** A mesh that connects to one peer, which accepts connections and never sends anything. */
internal class PeerMeshTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val peer = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
    private val accepted = Semaphore(0)
    private val clock = ManualClock()
    private val noLoad = PeerMessage.LoadReport(0, 0, 1, 0, false)
    private val mesh = PeerMesh(
        loop,
        clock,
        OWN_IP,
        peer.localPort,
        PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, "own", "a", 1),
        NoListener,
        { Distance.SAME_REGION },
        { PeerMessage.Ping(emptyList(), 0, 0, false, noLoad, 0, 0) },
        TrafficCounts(clock),
    )

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    peer.accept()
                    accepted.release()
                }
            }
        }
    }

    @AfterEach
    fun stop() {
        peer.close()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    private fun <T> onLoop(block: () -> T): T = loop.submit(Callable { block() }).get(5, TimeUnit.SECONDS)

    /**
     * Guards against a stopping daemon that opens its connections again after it has closed them, and in its last
     * moments announces a version to a few daemons only.
     */
    @Test
    fun `Given a closed mesh, when time passes, then it opens no connection again`() {
        onLoop { mesh.retain(setOf(PEER_IP)) }
        expectThat(accepted.tryAcquire(5, TimeUnit.SECONDS)).isTrue()
        onLoop { mesh.close() }
        repeat(5) {
            clock.advance(1.seconds)
            onLoop { mesh.tick() }
            onLoop { mesh.retain(setOf(PEER_IP)) }
        }
        expectThat(accepted.tryAcquire(500, TimeUnit.MILLISECONDS)).isFalse()
    }

    private object NoListener : PeerListener {
        override fun opened(session: PeerSession) = Unit

        override fun received(session: PeerSession, frame: PeerFrame) = Unit

        override fun closed(session: PeerSession, reason: String) = Unit

        override fun failed(session: PeerSession, cause: Throwable) = Unit
    }

    private companion object {
        const val OWN_IP = "127.0.0.2"
        const val PEER_IP = "127.0.0.1"
    }
}
