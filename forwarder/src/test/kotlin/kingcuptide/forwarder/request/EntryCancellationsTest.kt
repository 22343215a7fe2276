package kingcuptide.forwarder.request

import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.process.CapturedLog
import kingcuptide.forwarder.process.DaemonMetrics
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a caller that leaves while its request runs without a line that says when. */
internal class EntryCancellationsTest {
    private val clock = ManualClock()
    private val log = CapturedLog()
    private val metrics = DaemonMetrics()
    private val cancellations = EntryCancellations(clock, metrics, log.eventLog)

    /** Cancels the request 7, which [target] has, 40 ms after it was received. */
    private fun cancelled(target: TargetId?, targetsReached: Int) = runBlocking {
        val receivedAt = clock.now()
        val job =
            launch(start = CoroutineStart.UNDISPATCHED) {
                cancellations.observe("7", receivedAt, { target }, { targetsReached }) {
                    withTimeoutOrNull(MAX_TIME_MS) { awaitCancellation() }
                }
            }
        clock.advance(40.milliseconds)
        job.cancel("connection ended")
    }

    @Test
    fun `Given a request at a target, when its caller leaves, then a line has the target, the time and the reason`() {
        cancelled(TargetId("t-1"), targetsReached = 1)
        expectThat(log.lines).containsExactly(
            "event=request_cancelled request=7 target=t-1 place=sent reached=1 after_ms=40 reason=\"connection ended\"",
        )
        expectThat(metrics.scrape())
            .contains("kingcuptide_cancelled_requests_total{place=\"sent\",side=\"entry\"} 1.0")
    }

    @Test
    fun `Given a request that waits at its entry, when its caller leaves, then a line says so`() {
        cancelled(null, targetsReached = 0)
        expectThat(log.lines).containsExactly(
            "event=request_cancelled request=7 target=null place=waiting reached=0 after_ms=40 " +
                "reason=\"connection ended\"",
        )
        expectThat(metrics.scrape())
            .contains("kingcuptide_cancelled_requests_total{place=\"waiting\",side=\"entry\"} 1.0")
    }

    @Test
    fun `Given a request whose time is up, when it ends, then there is no line`() {
        runBlocking {
            cancellations.observe("7", clock.now(), { null }, { 0 }) {
                withTimeoutOrNull(1) { awaitCancellation() }
            }
        }
        expectThat(log.lines).isEmpty()
    }

    private companion object {
        const val MAX_TIME_MS = 60_000L
    }
}
