package kingcuptide.forwarder.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.TargetGate
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.HttpResult
import kingcuptide.forwarder.connection.PeerCodec
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerListener
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.StartQueue
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Guards against calls that a gate starts, or refuses others for, although their cancellation has arrived with them. */
internal class GateEndpointTest {
    private val clock = ManualClock()
    private val gate = TargetGate(clock).apply {
        coldFor(Duration.ZERO)
        slots = 2
    }
    private val sent = ArrayList<String?>()
    private val responses = HashMap<String?, CompletableDeferred<HttpResult>>()
    private val service = GateService(
        CoroutineScope(Dispatchers.Unconfined),
        clock,
        gate,
        { call, _, _ ->
            val id = call.headers.first(NAMES.requestId)
            sent += id
            responses.getOrPut(id) { CompletableDeferred() }.await()
        },
        NAMES,
        { null },
        NoTargetObserver,
        TargetNotices(clock, NAMES, gate) { },
        CrashSuspects(HostId("h"), 1, clock),
        RunningRequests(clock),
        DaemonMetrics(),
        atTurnEnd = ::atTurnEnd,
    )
    private val endpoint: GateEndpoint =
        GateEndpoint(clock, StartQueue(clock, scheduleTurn = ::atTurnEnd), service, gate::loadReport)
    private val listener = object : PeerListener {
        override fun opened(session: PeerSession) = Unit

        override fun received(session: PeerSession, frame: PeerFrame) = endpoint.received(session, frame)

        override fun closed(session: PeerSession, reason: String) = endpoint.closed(session)

        override fun failed(session: PeerSession, cause: Throwable) = Unit
    }
    private val hello = PeerMessage.Hello(PeerCodec.PROTOCOL_VERSION, "own", "a", 1)
    private val channel = EmbeddedChannel(PeerCodec(), PeerSession(clock, listener, hello, isOutbound = false))

    private fun atTurnEnd(run: () -> Unit) {
        channel.eventLoop().schedule(run, 0, TimeUnit.NANOSECONDS)
    }

    private fun bytesOf(vararg messages: PeerMessage): ByteBuf {
        val encoder = EmbeddedChannel(PeerCodec())
        messages.forEach { encoder.writeOutbound(PeerFrame(it)) }
        return Unpooled.wrappedBuffer(*encoder.outboundMessages().map { it as ByteBuf }.toTypedArray())
    }

    private fun forward(number: Long) = PeerMessage.Forward(
        number,
        "$number",
        "GET",
        "/",
        listOf(NAMES.requestId, "$number"),
        3_000,
        1_000,
        1_000,
        "r",
        1,
        true,
        "t",
    )

    @Test
    fun `Given calls and their cancellations in one read, when they are read, then only the other calls start`() {
        val withdrawn = (1L..20L)
        val messages = (1L..22L).map(::forward) + withdrawn.map(PeerMessage::Cancel)
        channel.writeInbound(bytesOf(*messages.toTypedArray()))
        expectThat(sent).containsExactly("21", "22")
    }

    @Test
    fun `Given a connection that ends behind a call, when both are read in one turn, then the call does not start`() {
        channel.pipeline().fireChannelRead(bytesOf(forward(1)))
        channel.pipeline().fireChannelInactive()
        channel.runPendingTasks()
        expectThat(sent).isEmpty()
    }

    @Test
    fun `Given a queued call, when a slot is freed in the turn of its cancellation, then the next one starts`() {
        channel.writeInbound(bytesOf(forward(1), forward(2), forward(3), forward(4)))
        val response = BufferedResponse(404, listOf(NAMES.requestId to "1"), ByteArray(0))
        responses.getValue("1").complete(HttpResult.Answered(response))
        channel.writeInbound(bytesOf(PeerMessage.Cancel(3)))
        expectThat(sent).containsExactly("1", "2", "4")
    }

    private companion object {
        val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
    }
}
