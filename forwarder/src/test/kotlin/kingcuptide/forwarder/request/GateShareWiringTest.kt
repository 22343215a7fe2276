package kingcuptide.forwarder.request

import kingcuptide.coordination.process.HostId
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
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a gate that shares by something other than the workspace, so that one workspace starves another. */
internal class GateShareWiringTest {
    private val time = VirtualTime()
    private val random = Random(1)
    private val names =
        HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
    private val gate = TargetGate(time).apply { slots = 4 }
    private val requested = HashMap<String, Int>()
    private val served = HashMap<String, Int>()
    private var lastRequest = 0
    private val client = TargetCalls { call, _, _ ->
        delay(100)
        val id = checkNotNull(call.headers.first(names.requestId))
        HttpResult.Answered(
            BufferedResponse(200, listOf(names.requestId to id, names.targetSignature to "1"), NO_BYTES),
        )
    }
    private val service = GateService(
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

    private fun send(workspace: String, priority: Int) {
        requested.merge(workspace, 1, Int::plus)
        val id = "${++lastRequest}"
        val call = ForwardCall(
            id,
            "GET",
            "/",
            listOf(names.requestId to id),
            NO_BYTES,
            2.seconds,
            500.milliseconds,
            500.milliseconds,
            RouteId("r"),
            priority,
            true,
            ID,
            workspace,
        )
        service.submit(call) { if (it is ForwardResult.Answered) served.merge(workspace, 1, Int::plus) }
    }

    private fun sendAll(workspace: String, priority: Int, perSecond: Double) {
        val interval = 1.seconds / perSecond * -ln(1 - random.nextDouble())
        time.after(interval) {
            send(workspace, priority)
            sendAll(workspace, priority, perSecond)
        }
    }

    private fun tick() {
        gate.serve()
        time.after(TargetGate.MAX_SERVE_INTERVAL, ::tick)
    }

    private fun ratioOf(workspace: String) =
        served.getOrDefault(workspace, 0).toDouble() / requested.getValue(workspace)

    @Test
    fun `Given a workspace that sends ten times its usual, when the target is full, then others keep a quarter`() {
        gate.coldFor(Duration.ZERO)
        tick()
        sendAll("surging", priority = 0, perSecond = 10 * 15.0)
        sendAll("usual", priority = 1, perSecond = 15.0)
        sendAll("small", priority = 2, perSecond = 3.0)
        time.advance(60.seconds)
        val ofAll = served.values.sum().toDouble() / requested.values.sum()
        println("served ratios: all $ofAll, usual ${ratioOf("usual")}, small ${ratioOf("small")}")
        expectThat(ofAll).isLessThan(0.4)
        expectThat(ratioOf("usual")).isGreaterThan(ofAll / 4)
        expectThat(ratioOf("small")).isGreaterThan(ofAll / 4)
    }

    private companion object {
        val ID = TargetId("t")
    }
}
