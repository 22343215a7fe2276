package kingcuptide.forwarder.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.HttpResult
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against a late response of an instance that left, which keeps its successor from getting requests. */
internal class GateLeavingTest {
    private val time = VirtualTime()
    private val names =
        HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
    private val gate = TargetGate(time).apply {
        slots = 2
        coldFor(Duration.ZERO)
    }
    private var startedAtUnixMs = 5L
    private val left = ArrayList<TargetInstance>()
    private val service = GateService(
        CoroutineScope(time + Job()),
        time,
        gate,
        { call, _, _ ->
            delay(1_000)
            val headers = listOf("Id" to call.target, "Proof" to "p", "Leaving" to "1")
            HttpResult.Answered(BufferedResponse(200, headers, NO_BYTES))
        },
        names,
        { ID },
        NoTargetObserver,
        TargetNotices(time, names, gate) { left += it },
        CrashSuspects(HostId("h"), 1, time),
        RunningRequests(time),
        DaemonMetrics(),
        instanceOf = { TargetInstance(it, startedAtUnixMs) },
    )

    @Test
    fun `Given a request at an instance, when its response comes after the next start, then the earlier one leaves`() {
        service.submit(CALL) { }
        time.advance(0.5.seconds)
        startedAtUnixMs = 9
        time.advance(1.seconds)
        expectThat(left).containsExactly(TargetInstance(ID, 5))
    }

    private companion object {
        val ID = TargetId("t")
        val CALL =
            ForwardCall(
                "/x",
                "GET",
                "/x",
                emptyList(),
                NO_BYTES,
                9.seconds,
                9.seconds,
                9.seconds,
                RouteId("r"),
                1,
                true,
                ID,
            )
    }
}
