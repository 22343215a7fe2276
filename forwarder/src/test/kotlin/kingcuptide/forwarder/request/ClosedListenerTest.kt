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
import kingcuptide.coordination.version.ServiceTraits
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
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a response that is thrown away because its target has stopped to listen: such a target is about to leave,
 * but still responds on the connections that are open.
 */
internal class ClosedListenerTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val scope = CoroutineScope(loop.asCoroutineDispatcher() + Job())
    private val clock = systemClock()
    private val server = LeavingServer(REQUESTS.size, runTime = 2.seconds)
    private val gate = TargetGate(clock).apply {
        slots = REQUESTS.size
        coldFor(Duration.ZERO)
    }
    private val notices = TargetNotices(clock, NAMES, gate) { }
    private val down = CountDownLatch(1)
    private val monitor =
        TargetMonitor(loop, scope, clock, server.address, NAMES, gate, notices, { TRAITS }, ::targetChanged)
    private val service: GateService =
        GateService(
            scope,
            clock,
            gate,
            TargetClient(loop, clock, server.address),
            NAMES,
            { ID },
            monitor,
            notices,
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

    @Test
    fun `Given running requests, when the target stops listening and responds 2 s later, then all responses arrive`() {
        val results = submitAll()
        expectThat(server.awaitClosedListener()).isTrue()
        loop.execute { monitor.start() }
        expectThat(down.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue()
        for (result in results) {
            expectThat(result.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isA<ForwardResult.Answered>()
        }
        expectThat(server.runs).isEqualTo(REQUESTS.associateWith { 1 })
    }

    @Test
    fun `Given running requests, when another target responds at the address, then only idempotent ones end`() {
        val results = submitAll()
        expectThat(server.awaitClosedListener()).isTrue()
        loop.submit { service.targetFailed(TargetFailure.Replaced(TargetId("other"))) }.get()
        expectThat(results.count { it.isDone }).isEqualTo(0)
        loop.submit { service.targetFailed(TargetFailure.Replaced(ID)) }.get()
        expectThat(results.first().getNow(null)).isNotNull().isA<ForwardResult.OutcomeUnknown>()
            .get { code }.isEqualTo(ResultCode.ANSWER_LOST)
        expectThat(results.last().get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isA<ForwardResult.Answered>()
    }

    private fun submitAll(): List<CompletableFuture<ForwardResult>> =
        REQUESTS.map { id ->
            val result = CompletableFuture<ForwardResult>()
            loop.submit { service.submit(callOf(id)) { result.complete(it) } }.get()
            result
        }

    /** Does what the daemon does. */
    private fun targetChanged(failure: TargetFailure?) {
        failure?.let(service::targetFailed)
        if (monitor.isDown) down.countDown()
    }

    private companion object {
        const val IDEMPOTENT = "idempotent"
        val REQUESTS = listOf(IDEMPOTENT, "unsafe")
        val ID = TargetId("t")
        val TRAITS = ServiceTraits("/health", 0.seconds, 10.0)
        const val MAX_WAIT_SECONDS = 5L
        val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")

        fun callOf(id: String) = ForwardCall(
            id,
            "GET",
            "/",
            listOf("Id" to id),
            NO_BYTES,
            10.seconds,
            500.milliseconds,
            500.milliseconds,
            RouteId("r"),
            1,
            idempotent = id == IDEMPOTENT,
            ID,
        )
    }
}
