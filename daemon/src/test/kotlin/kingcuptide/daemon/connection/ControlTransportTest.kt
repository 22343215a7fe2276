package kingcuptide.daemon.connection

import io.ktor.network.selector.SelectorManager
import kingcuptide.coordination.connection.ControlEnvelope
import kingcuptide.coordination.connection.StatusReply
import kingcuptide.coordination.connection.StatusRequest
import kingcuptide.coordination.connection.frameCodec
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.daemon.process.SeedPeer
import kingcuptide.forwarder.process.DaemonMetrics
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ControlTransportTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val north = HostId("north")
    private val south = HostId("south")

    @AfterEach
    fun stop() {
        scope.cancel()
        selector.close()
    }

    private fun transport(self: HostId, received: Channel<ControlEnvelope>) =
        ControlTransport(scope, selector, frameCodec(), self, RegionId("r"), PeerAddressTable(seeds), DaemonMetrics()) {
            received.send(it)
        }

    private val seeds =
        listOf(
            SeedPeer(north, "127.26.0.1", PORT, FailureDomainId("a"), RegionId("r")),
            SeedPeer(south, "127.26.0.2", PORT, FailureDomainId("b"), RegionId("r")),
        )

    @Nested
    inner class `Given a daemon that sends before its peer has bound its port` {
        @Test
        fun `when the peer starts, then messages arrive in both directions`() =
            runBlocking {
                val atNorth = Channel<ControlEnvelope>(Channel.UNLIMITED)
                val atSouth = Channel<ControlEnvelope>(Channel.UNLIMITED)
                val first = transport(north, atNorth).also { it.start("127.26.0.1", PORT) }
                repeat(20) { first.send(south, StatusRequest(it, 100)) }
                delay(200.milliseconds)
                val second = transport(south, atSouth).also { it.start("127.26.0.2", PORT) }
                repeat(100) {
                    first.send(south, StatusRequest(it, 100))
                    second.send(north, StatusReply(it, emptyList()))
                    expectThat(withTimeout(10.seconds) { atSouth.receive() }.from).isEqualTo(north)
                    expectThat(withTimeout(10.seconds) { atNorth.receive() }.from).isEqualTo(south)
                }
            }
    }

    private companion object {
        const val PORT = 7071
    }
}
