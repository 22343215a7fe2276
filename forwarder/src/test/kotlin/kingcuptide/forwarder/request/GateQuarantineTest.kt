package kingcuptide.forwarder.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.CrashCandidate
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.TargetGate
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
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a gate that passes on a quarantined request of an entry that has missed the records. */
internal class GateQuarantineTest {
    private val time = VirtualTime()
    private val names =
        HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
    private val gate = TargetGate(time).apply {
        slots = 1
        coldFor(Duration.ZERO)
    }
    private val suspects = CrashSuspects(HostId("h"), 1, time)
    private val sent = ArrayList<String>()
    private val service = GateService(
        CoroutineScope(time + Job()),
        time,
        gate,
        { call, _, _ -> respond(call.target) },
        names,
        { ID },
        NoTargetObserver,
        TargetNotices(time, names, gate) { },
        suspects,
        RunningRequests(time),
        DaemonMetrics(),
    )

    private suspend fun respond(path: String): HttpResult {
        sent += path
        delay(1_000)
        val status = if (path == "/fails") 500 else 200
        return HttpResult.Answered(BufferedResponse(status, listOf("Id" to path, "Proof" to "p"), NO_BYTES))
    }

    private fun quarantine(call: ForwardCall) =
        listOf("a", "b").forEach { suspects.targetCrashed(TargetId(it), candidates(call, TargetId(it)), emptyList()) }

    private fun candidates(call: ForwardCall, target: TargetId) =
        listOf(CrashCandidate(call.fingerprintInput(names), target, time.now(), time.now()))

    @Test
    fun `Given a quarantined request, when an entry sends it, then it is refused and never reaches the target`() {
        val results = ArrayList<ForwardResult>()
        quarantine(callTo("/crash"))
        service.submit(callTo("/crash")) { results += it }
        expectThat(results.map { (it as ForwardResult.Refused).code }).containsExactly(ResultCode.QUARANTINED)
        service.submit(callTo("/other")) { results += it }
        time.advance(2.seconds)
        expectThat(sent).containsExactly("/other")
    }

    @Test
    fun `Given a request that waits for a slot, when it is quarantined meanwhile, then it never reaches the target`() {
        val results = HashMap<String, ForwardResult>()
        for (path in listOf("/other", "/crash")) service.submit(callTo(path)) { results[path] = it }
        time.advance(100.milliseconds)
        expectThat(sent).containsExactly("/other")
        quarantine(callTo("/crash"))
        time.advance(3.seconds)
        expectThat(sent).containsExactly("/other")
        expectThat((results["/crash"] as ForwardResult.Refused).code).isEqualTo(ResultCode.QUARANTINED)
        expectThat(gate.inFlight).isEqualTo(0)
    }

    @Test
    fun `Given records of one crash, when its request is sent again, then it reaches the target`() {
        suspects.targetCrashed(TargetId("a"), candidates(callTo("/crash"), TargetId("a")), emptyList())
        service.submit(callTo("/crash")) { }
        time.advance(2.seconds)
        expectThat(sent).containsExactly("/crash")
    }

    /** Guards against a popular request that stays a suspect of each crash, although its target keeps responding to it. */
    @Test
    fun `Given responses, when the target has lived on after them, then it has survived the successful ones`() {
        for (path in listOf("/page", "/fails")) service.submit(callTo(path)) { }
        time.advance(1.2.seconds)
        expectThat(service.survivedRuns()).isEmpty()
        time.advance(2.seconds)
        expectThat(service.survivedRuns().map { it.request }).containsExactly(callTo("/page").fingerprintInput(names))
    }

    private companion object {
        val ID = TargetId("t")

        fun callTo(path: String) =
            ForwardCall(
                path,
                "GET",
                path,
                emptyList(),
                NO_BYTES,
                9.seconds,
                9.seconds,
                9.seconds,
                RouteId("r"),
                1,
                false,
                ID,
            )
    }
}
