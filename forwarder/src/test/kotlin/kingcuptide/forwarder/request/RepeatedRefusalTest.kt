package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.systemClock
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a refusal of an earlier request that the target sends once more on a kept connection: it must not tell that
 * the next request, which runs, has not run.
 */
internal class RepeatedRefusalTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val scope = CoroutineScope(loop.asCoroutineDispatcher() + Job())
    private val clock = systemClock()
    private val server = SocketServer(::respond)
    private val gate = TargetGate(clock).apply {
        slots = 1
        coldFor(Duration.ZERO)
    }
    private val service = GateService(
        scope,
        clock,
        gate,
        TargetClient(loop, clock, server.address),
        NAMES,
        { ID },
        NoTargetObserver,
        TargetNotices(clock, NAMES, gate) { },
        CrashSuspects(HostId("h"), 1, clock),
        RunningRequests(clock),
        DaemonMetrics(),
    )

    @AfterEach
    fun stop() {
        server.close()
        scope.cancel()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    /** What the target sends on each connection, one element for each request. */
    @Volatile
    private var script = emptyList<String>()

    private fun respond(socket: Socket) {
        val responses = script
        val reader = socket.reader()
        for (response in responses) {
            readHead(reader) ?: return
            socket.send(response)
        }
        reader.read()
    }

    private fun submit(id: String): ForwardResult {
        val result = CompletableFuture<ForwardResult>()
        loop.execute { service.submit(callOf(id)) { result.complete(it) } }
        return result.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private fun expectRefused(id: String) =
        expectThat(submit(id)).isA<ForwardResult.Refused>().get { code }.isEqualTo(ResultCode.TARGET_FULL)

    @Test
    fun `Given a refusal that comes again before the response, when it has the earlier id, then it is skipped`() {
        script = listOf(refusal("1"), refusal("1") + response("2"))
        expectRefused("1")
        expectThat(submit("2")).isA<ForwardResult.Answered>().get { response.status }.isEqualTo(200)
    }

    @Test
    fun `Given a refusal that comes again without id, when the request may run, then its outcome is unknown`() {
        for (status in listOf(503, 429, 421, 400)) {
            script = listOf(refusal("1"), refusal(null, status) + response("2"))
            expectRefused("1")
            expectThat(submit("2")).describedAs("$status").isA<ForwardResult.OutcomeUnknown>()
            TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS)
        }
    }

    @Test
    fun `Given a refusal that comes twice at once, when the next request is sent, then it has another connection`() {
        script = listOf(refusal("1") + refusal("1"), response("2"))
        expectRefused("1")
        TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS)
        script = listOf(response("2"))
        expectThat(submit("2")).isA<ForwardResult.Answered>()
        expectThat(server.connections).isEqualTo(2)
    }

    private companion object {
        const val MAX_WAIT_SECONDS = 5L

        /** Time for bytes on loopback to arrive. */
        const val ARRIVAL_MS = 100L
        val ID = TargetId("t")
        val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")

        fun refusal(id: String?, status: Int = 503) =
            "HTTP/1.1 $status X\r\n${id?.let { "Id: $it\r\n" }.orEmpty()}Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

        fun response(id: String) = "HTTP/1.1 200 OK\r\nId: $id\r\nProof: p\r\nContent-Length: 2\r\n\r\nok"

        fun callOf(id: String) = ForwardCall(
            id,
            "POST",
            "/",
            listOf("Id" to id),
            NO_BYTES,
            3.seconds,
            1.seconds,
            1.seconds,
            RouteId("r"),
            1,
            idempotent = false,
            ID,
        )
    }
}
