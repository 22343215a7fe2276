package kingcuptide.forwarder.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.nio.NioIoHandler
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.Distance
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.connection.PeerCodec
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerListener
import kingcuptide.forwarder.connection.PeerMesh
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.TrafficCounts
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against calls that still leave for a daemon that reads slowly, or count as sent to it, when they were withdrawn. */
internal class SlowPeerTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val clock = ManualClock()
    private val hello = PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, "other", "a", 1)
    private val listener = ServerSocket().apply {
        receiveBufferSize = 16_384
        bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
    }
    private val mesh = PeerMesh(
        loop,
        clock,
        OWN_IP,
        listener.localPort,
        PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, "own", "a", 1),
        Events(),
        { Distance.SAME_REGION },
        { PeerMessage.Ping(emptyList(), 0, 0, false, PeerMessage.LoadReport(0, 0, 1, 0, false), 0, 0) },
        TrafficCounts(clock),
    )
    private val gate = TargetGate(clock)
    private val service = GateService(
        CoroutineScope(Dispatchers.Unconfined),
        clock,
        gate,
        { _, _, _ -> awaitCancellation() },
        NAMES,
        { null },
        NoTargetObserver,
        TargetNotices(clock, NAMES, gate) { },
        CrashSuspects(HostId("h"), 1, clock),
        RunningRequests(clock),
        DaemonMetrics(),
    )
    private val transport = PeerGateTransport(OWN_IP, service, { mesh }, { null }) { false }
    private val results = HashMap<String, ForwardResult>()
    private lateinit var peer: Socket

    @AfterEach
    fun stop() {
        onLoop { mesh.close() }
        listener.close()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    private fun <T> onLoop(block: () -> T): T = loop.submit(Callable { block() }).get(5, TimeUnit.SECONDS)

    private fun await(condition: () -> Boolean) {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5)
        while (!onLoop(condition)) check(System.nanoTime() < until) { "condition not met in 5 s" }
    }

    private fun connect() {
        onLoop { mesh.retain(setOf(PEER_IP)) }
        peer = listener.accept().apply { soTimeout = 5_000 }
        val encoder = EmbeddedChannel(PeerCodec())
        encoder.writeOutbound(PeerFrame(hello))
        val bytes = encoder.readOutbound<ByteBuf>()
        peer.getOutputStream().write(ByteArray(bytes.readableBytes()).also(bytes::readBytes))
        await { mesh.sessionTo(PEER_IP) != null }
    }

    private fun submit(id: String, body: ByteArray): Cancellation = onLoop {
        val call = ForwardCall(
            id,
            "POST",
            "/",
            emptyList(),
            body,
            3.seconds,
            1.seconds,
            1.seconds,
            RouteId("r"),
            1,
            false,
            TARGET.entry.id,
        )
        transport.submit(TARGET, call) { results[id] = it }
    }

    /** Fills the buffers between both daemons, since the peer reads nothing. */
    private fun submitLargeCalls() = repeat(LARGE_CALLS) { submit("large-$it", ByteArray(LARGE_BYTES)) }

    /** Reads frames until that of the call [last], and returns all calls. */
    private fun receivedCalls(last: String): List<PeerMessage.Forward> {
        val decoder = EmbeddedChannel(PeerCodec())
        val calls = ArrayList<PeerMessage.Forward>()
        val bytes = ByteArray(BUFFER_BYTES)
        while (calls.none { it.requestId == last }) {
            decoder.writeInbound(Unpooled.copiedBuffer(bytes, 0, peer.getInputStream().read(bytes)))
            while (true) {
                val frame = decoder.readInbound<PeerFrame>() ?: break
                (frame.message as? PeerMessage.Forward)?.let(calls::add)
            }
        }
        return calls
    }

    @Test
    fun `Given a peer that reads nothing, when a call is withdrawn, then it is not sent later`() {
        connect()
        submitLargeCalls()
        val withdrawn = submit("withdrawn", NO_BODY)
        submit("last", NO_BODY)
        onLoop { withdrawn.cancel() }
        expectThat(receivedCalls("last").map { it.requestId })
            .containsExactly(List(LARGE_CALLS) { "large-$it" } + "last")
    }

    /** Guards against a target that is told more time than is left, as its call has waited in the daemon of its caller. */
    @Test
    fun `Given a peer that reads nothing, when a call is sent later, then its time is less by as much`() {
        connect()
        submitLargeCalls()
        submit("last", NO_BODY)
        clock.advance(2.seconds)
        val last = receivedCalls("last").last()
        expectThat(last.requestId to last.remainingMs).isEqualTo("last" to 1_000L)
        expectThat(last.untilObjectiveMs).isEqualTo(-1_000L)
    }

    /** Guards against a call that is not sent for as long as responses to the same daemon fill the connection. */
    @Test
    fun `Given responses that fill the connection, when a call waits, then later ones do not all overtake it`() {
        connect()
        val session = checkNotNull(onLoop { mesh.sessionTo(PEER_IP) })
        val load = PeerMessage.LoadReport(0, 0, 1, 0, false)
        val respond = { session.send(PeerMessage.Response(0, 200, emptyList(), 1, load), ByteArray(LARGE_BYTES)) }
        onLoop { repeat(LARGE_CALLS) { respond() } }
        submit("last", NO_BODY)
        val decoder = EmbeddedChannel(PeerCodec())
        val bytes = ByteArray(BUFFER_BYTES)
        var later = 0
        var isSent = false
        while (!isSent) {
            decoder.writeInbound(Unpooled.copiedBuffer(bytes, 0, peer.getInputStream().read(bytes)))
            for (frame in generateSequence { decoder.readInbound<PeerFrame>() }) {
                if (frame.message is PeerMessage.Forward) isSent = true
                if (frame.message is PeerMessage.Response && later++ < 4 * LARGE_CALLS) onLoop { respond() }
            }
        }
        expectThat(later).isLessThan(2 * LARGE_CALLS)
    }

    @Test
    fun `Given a peer that reads nothing, when its connection ends, then a call that was not sent has not run`() {
        connect()
        submitLargeCalls()
        submit("last", NO_BODY)
        peer.setSoLinger(true, 0)
        peer.close()
        await { results.size == LARGE_CALLS + 1 }
        expectThat(results.getValue("last")).isA<ForwardResult.Refused>().get { code }
            .isEqualTo(ResultCode.PEER_UNREACHABLE)
        expectThat(results.getValue("large-0")).isA<ForwardResult.OutcomeUnknown>()
    }

    private inner class Events : PeerListener {
        override fun opened(session: PeerSession) = Unit

        override fun received(session: PeerSession, frame: PeerFrame) = transport.received(session, frame)

        override fun closed(session: PeerSession, reason: String) = transport.closed(session)

        override fun failed(session: PeerSession, cause: Throwable) = Unit
    }

    private companion object {
        const val OWN_IP = "127.0.0.2"
        const val PEER_IP = "127.0.0.1"
        const val LARGE_CALLS = 12
        const val LARGE_BYTES = 1_000_000
        const val BUFFER_BYTES = 65_536
        val NO_BODY = ByteArray(0)
        val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
        val TARGET = KnownTarget(
            TargetEntry(
                TargetId("t"),
                ServiceId("s"),
                PEER_IP,
                80,
                FailureDomainId("a"),
                "v1",
                10,
                leaving = false,
                coldFor = Duration.ZERO,
                startedAtUnixMs = 0,
                reports = 1,
            ),
            1,
        )
    }
}
