package kingcuptide.forwarder.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against a request that never gets a result, and keeps its slot, after an error of the gate. */
internal class GateErrorTest {
    private val time = VirtualTime()
    private val names =
        HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
    private val gate = TargetGate(time)
    private val results = ArrayList<ForwardResult>()

    private fun serviceWith(client: TargetCalls) = GateService(
        CoroutineScope(time + Job()),
        time,
        gate,
        client,
        names,
        { ID },
        NoTargetObserver,
        TargetNotices(time, names, gate) { },
        CrashSuspects(HostId("h"), 1, time),
        RunningRequests(time),
        DaemonMetrics(),
    )

    @Test
    fun `Given errors while a request is sent, when they are thrown, then its outcome is unknown and its slot free`() {
        gate.coldFor(Duration.ZERO)
        for (error in listOf(IllegalArgumentException("test"), StackOverflowError())) {
            results.clear()
            serviceWith { _, _, _ -> throw error }.submit(CALL) { results += it }
            time.advance(1.seconds)
            expectThat(results.map { (it as ForwardResult.OutcomeUnknown).code })
                .containsExactly(ResultCode.ANSWER_LOST)
            expectThat(gate.inFlight).isEqualTo(0)
        }
    }

    private companion object {
        val ID = TargetId("t")
        val CALL = ForwardCall(
            "1",
            "GET",
            "/",
            emptyList(),
            NO_BYTES,
            3.seconds,
            1.seconds,
            1.seconds,
            RouteId("r"),
            1,
            false,
            ID,
        )
    }
}
