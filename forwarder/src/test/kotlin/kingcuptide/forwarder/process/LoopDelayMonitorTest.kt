package kingcuptide.forwarder.process

import kingcuptide.forwarder.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a pause of the process that leaves no trace in its logs and metrics. */
internal class LoopDelayMonitorTest {
    private val clock = ManualClock()
    private val log = CapturedLog()
    private val monitor = LoopDelayMonitor(clock, INTERVAL, log.eventLog) { arrayOf("in_flight" to 3) }

    private fun runAfter(time: Duration) {
        clock.advance(time)
        monitor.taskStarted()
    }

    @Test
    fun `Given runs that are hardly late, when they start, then none is reported but the longest delay is known`() {
        runAfter(Duration.ZERO)
        for (delayMs in listOf(0, 99, 20)) runAfter(INTERVAL + delayMs.milliseconds)
        expectThat(log.lines).isEmpty()
        expectThat(monitor.maxDelay).isEqualTo(99.milliseconds)
        expectThat(monitor.totalDelay).isEqualTo(Duration.ZERO)
    }

    @Test
    fun `Given two pauses, when the next runs start, then each is reported once and both are summed`() {
        runAfter(Duration.ZERO)
        for (delayMs in listOf(700, 0, 100, 0)) runAfter(INTERVAL + delayMs.milliseconds)
        expectThat(log.lines).containsExactly(
            "event=event_loop_delayed delay_ms=700 in_flight=3",
            "event=event_loop_delayed delay_ms=100 in_flight=3",
        )
        expectThat(monitor.totalDelay).isEqualTo(800.milliseconds)
        expectThat(monitor.maxDelay).isEqualTo(700.milliseconds)
    }

    @Test
    fun `Given a long time before the first run, when it starts, then it is not late`() {
        runAfter(5.seconds)
        expectThat(log.lines).isEmpty()
        expectThat(monitor.maxDelay).isEqualTo(Duration.ZERO)
    }

    @Test
    fun `Given a pause, when 10 s have passed, then it is still the longest, and after 20 s it is not`() {
        runAfter(Duration.ZERO)
        runAfter(INTERVAL + 300.milliseconds)
        repeat(120) { runAfter(INTERVAL) }
        expectThat(monitor.maxDelay).isEqualTo(300.milliseconds)
        repeat(100) { runAfter(INTERVAL) }
        expectThat(monitor.maxDelay).isEqualTo(Duration.ZERO)
    }

    @Test
    fun `Given a pause of 30 s, when the next run starts, then it is the longest delay`() {
        runAfter(Duration.ZERO)
        runAfter(INTERVAL + 30.seconds)
        expectThat(monitor.maxDelay).isEqualTo(30.seconds)
    }

    private companion object {
        val INTERVAL = 100.milliseconds
    }
}
