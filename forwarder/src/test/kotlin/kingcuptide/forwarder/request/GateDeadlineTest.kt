package kingcuptide.forwarder.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.HttpResult
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.single
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a response of the gate in place of the one that the target sends when it ends a request at its deadline. */
internal class GateDeadlineTest {
    private val time = VirtualTime()
    private val exitsAt = time.now() + TIME_LEFT
    private val gate = TargetGate(time).apply { coldFor(Duration.ZERO) }
    private val results = ArrayList<ForwardResult>()
    private var timeToResponse = Duration.ZERO
    private val service = GateService(
        CoroutineScope(time + Job()),
        time,
        gate,
        { call, _, _ ->
            delay((call.headers.first("Left")!!.toLong().milliseconds + timeToResponse).inWholeMilliseconds)
            HttpResult.Answered(BufferedResponse(GATEWAY_TIMEOUT, listOf("Id" to "1"), NO_BYTES))
        },
        NAMES,
        { ID },
        NoTargetObserver,
        TargetNotices(time, NAMES, gate) { },
        CrashSuspects(HostId("h"), 1, time),
        RunningRequests(time),
        DaemonMetrics(),
        responseBy = { minOf(it, exitsAt) },
    )

    @Test
    fun `Given a gate that exits, when the target ends a request at its deadline, then its response arrives`() {
        timeToResponse = 20.milliseconds
        service.submit(CALL) { results += it }
        time.advance(TIME_LEFT + 100.milliseconds)
        expectThat(results).single().isA<ForwardResult.Answered>().get { response.status }.isEqualTo(GATEWAY_TIMEOUT)
    }

    @Test
    fun `Given a target that ignores the deadline, when that has passed, then the outcome is unknown`() {
        timeToResponse = 1.seconds
        service.submit(CALL) { results += it }
        time.advance(TIME_LEFT + 200.milliseconds)
        expectThat(results).single().isA<ForwardResult.OutcomeUnknown>().get { code }
            .isEqualTo(ResultCode.DEADLINE_PASSED_RUNNING)
    }

    /** Guards against requests that end unfinished with the gate's daemon although another target has time for them. */
    @Test
    fun `Given a gate that exits before a request is expected to end, when it comes, then it is refused as not run`() {
        service.submit(callOf(objective = 3.seconds)) { results += it }
        expectThat(results).single().isA<ForwardResult.Refused>().get { code }.isEqualTo(ResultCode.DEADLINE_PASSED)
    }

    private companion object {
        const val GATEWAY_TIMEOUT = 504
        val TIME_LEFT = 700.milliseconds
        val ID = TargetId("t")
        val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
        val CALL = callOf(objective = 1.seconds)

        fun callOf(objective: Duration) = ForwardCall(
            "1",
            "GET",
            "/",
            emptyList(),
            NO_BYTES,
            3.seconds,
            objective,
            objective,
            RouteId("r"),
            1,
            false,
            ID,
        )
    }
}
