package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.systemClock
import kingcuptide.coordination.request.CrashCandidate
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.Fingerprint
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
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a request that crashes each target that runs it, and is not recorded since a response had begun. */
internal class CrashDetectionTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val scope = CoroutineScope(loop.asCoroutineDispatcher() + Job())
    private val clock = systemClock()

    @AfterEach
    fun stop() {
        scope.cancel()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `Given a crash at any point of a response, when the target is down, then its request is recorded`() {
        for (resets in listOf(false, true)) {
            val hosts = CrashPoint.entries.associateWith { Host(CrashingServer(it.sent, resets)) }
            hosts.values.forEach { it.submit() }
            val recorded = hosts.mapValues { (_, host) -> host.awaitDown() }
            hosts.values.forEach { it.server.close() }
            expectThat(recorded.filterValues { it != listOf(CALL.fingerprintInput(NAMES).fingerprint) }).isEmpty()
        }
    }

    @Test
    fun `Given a truncated response of a target that is up, when it is checked, then nothing is recorded`() {
        val host = Host(CrashingServer(CrashPoint.BODY.sent, resets = false, crashes = false))
        expectThat(host.submit().get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isA<ForwardResult.OutcomeUnknown>()
            .get { code }.isEqualTo(ResultCode.ANSWER_TRUNCATED)
        TimeUnit.MILLISECONDS.sleep(CHECK_MS)
        val recorded = loop.submit<Map<TargetId, List<CrashCandidate>>> { host.drain() }.get()
        host.server.close()
        expectThat(recorded).isEmpty()
    }

    /** A gate with its monitor and client, as the daemon has them. */
    private inner class Host(val server: CrashingServer) {
        private val recorded = CompletableFuture<List<Fingerprint>>()
        private val gate = TargetGate(clock).apply {
            slots = 2
            coldFor(Duration.ZERO)
        }
        private val notices = TargetNotices(clock, NAMES, gate) { }
        private val monitor =
            TargetMonitor(loop, scope, clock, server.address, NAMES, gate, notices, { TRAITS }) { targetChanged() }
        private val client = TargetClient(loop, clock, server.address) { service.idleConnectionEnded() }
        private val service: GateService =
            GateService(
                scope,
                clock,
                gate,
                client,
                NAMES,
                monitor::targetId,
                monitor,
                notices,
                CrashSuspects(HostId("h"), 1, clock),
                RunningRequests(clock),
                DaemonMetrics(),
            )

        fun submit(): CompletableFuture<ForwardResult> {
            val result = CompletableFuture<ForwardResult>()
            loop.execute {
                monitor.start()
                service.submit(CALL) { result.complete(it) }
            }
            return result
        }

        fun drain() = service.drainCrashCandidates { monitor.isDown }

        /** Returns the requests that were recorded when the target was found down. */
        fun awaitDown(): List<Fingerprint>? = recorded.completeOnTimeout(null, MAX_WAIT_SECONDS, TimeUnit.SECONDS).get()

        private fun targetChanged() {
            if (monitor.isDown) recorded.complete(drain().values.flatten().map { it.request.fingerprint })
        }
    }

    private companion object {
        const val MAX_WAIT_SECONDS = 5L

        /** Time for a check of a suspected target, which takes 0.2 s at most. */
        const val CHECK_MS = 500L
        val TRAITS = ServiceTraits("/health", 0.seconds, 10.0)
        val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
        val CALL = ForwardCall(
            "1",
            "GET",
            "/",
            listOf("Id" to "1"),
            NO_BYTES,
            10.seconds,
            500.milliseconds,
            500.milliseconds,
            RouteId("r"),
            1,
            idempotent = false,
            TargetId("t"),
        )
    }
}
