package kingcuptide.forwarder.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.process.CapturedLog
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a cancelled request of which the gate does not say whether and when the target got it. */
internal class GateCancellationsTest {
    private val metrics = DaemonMetrics()

    @Nested
    inner class `Given a cancelled request` {
        private val log = CapturedLog()
        private val cancellations = GateCancellations(metrics, log.eventLog)

        @Test
        fun `when it was in the queue, then a line has the time that it waited`() {
            cancellations.inQueue(CALL, 30.milliseconds)
            expectThat(log.lines).containsExactly("event=gate_withdrawn request=7 target=t waited_ms=30")
        }

        @Test
        fun `when it waited for a connection, then a line says that it was not sent`() {
            cancellations.started(CALL, 30.milliseconds, 5.milliseconds, null)
            expectThat(log.lines).containsExactly(
                "event=gate_cancelled request=7 target=t place=connecting waited_ms=30 ran_ms=5 sent_ms=null",
            )
        }

        @Test
        fun `when the target had it, then a line has the time since it was sent`() {
            cancellations.started(CALL, 30.milliseconds, 5.milliseconds, 4.milliseconds)
            expectThat(log.lines).containsExactly(
                "event=gate_cancelled request=7 target=t place=running waited_ms=30 ran_ms=5 sent_ms=4",
            )
        }
    }

    @Nested
    inner class `Given a gate whose target takes one request at a time` {
        private val time = VirtualTime()
        private val names =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
        private val gate = TargetGate(time).apply {
            slots = 1
            coldFor(Duration.ZERO)
        }
        private val client =
            TargetCalls { call, _, _ ->
                delay(CONNECT_TIME.inWholeMilliseconds)
                call.onSend()
                awaitCancellation()
            }
        private val service = GateService(
            CoroutineScope(time + Job()),
            time,
            gate,
            client,
            names,
            { CALL.targetId },
            NoTargetObserver,
            TargetNotices(time, names, gate) { },
            CrashSuspects(HostId("h"), 1, time),
            RunningRequests(time),
            metrics,
        )

        private fun submitUntilQueued(): Cancellation {
            repeat(MAX_REQUESTS) {
                val cancellation = service.submit(CALL) { }
                if (gate.queued > 0) return cancellation
            }
            error("no request waits")
        }

        private fun expectCounted(place: String, count: Int) {
            expectThat(metrics.scrape())
                .contains("kingcuptide_cancelled_requests_total{place=\"$place\",side=\"gate\"} $count.0")
        }

        @Test
        fun `when one is cancelled before it is sent, one after it and one in the queue, then each is counted`() {
            val connecting = service.submit(CALL) { }
            time.advance(CONNECT_TIME / 2)
            connecting.cancel()
            expectCounted("connecting", 1)
            val running = service.submit(CALL) { }
            time.advance(CONNECT_TIME * 2)
            submitUntilQueued().cancel()
            running.cancel()
            expectCounted("queued", 1)
            expectCounted("running", 1)
        }

        @Test
        fun `when one is cancelled twice, then it is counted once`() {
            val cancellation = service.submit(CALL) { }
            time.advance(CONNECT_TIME * 2)
            repeat(2) { cancellation.cancel() }
            expectCounted("running", 1)
        }
    }

    private companion object {
        val CONNECT_TIME = 10.milliseconds

        const val MAX_REQUESTS = 20
        val CALL = ForwardCall(
            "7",
            "GET",
            "/",
            emptyList(),
            NO_BYTES,
            3.seconds,
            2.seconds,
            2.seconds,
            RouteId("r"),
            1,
            false,
            TargetId("t"),
        )
    }
}
