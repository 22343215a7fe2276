package kingcuptide.coordination.process

import kingcuptide.coordination.request.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against signals that are dated by when a process that was held up sees them. */
internal class HoldUpDetectorTest {
    private val clock = ManualClock(START)
    private val detector = HoldUpDetector(clock, INTERVAL)

    private fun runFor(intervals: Int) = repeat(intervals) {
        clock.advance(INTERVAL)
        detector.tick()
    }

    @Test
    fun `Given a process that runs, when it notices a signal, then the signal has just come`() {
        runFor(5)
        clock.advance(50.milliseconds)
        expectThat(detector.earliestTimeOf(clock.now())).isEqualTo(clock.now())
    }

    @Test
    fun `Given a process that was held up, when it notices a signal before it ticks, then it may have come since`() {
        runFor(5)
        val runningAt = clock.now()
        clock.advance(1.seconds)
        expectThat(detector.earliestTimeOf(clock.now())).isEqualTo(runningAt)
    }

    @Test
    fun `Given a process that was held up, when it ticks before it notices a signal, then it may have come since`() {
        runFor(5)
        val runningAt = clock.now()
        clock.advance(1.seconds)
        detector.tick()
        clock.advance(100.milliseconds)
        detector.tick()
        expectThat(detector.earliestTimeOf(clock.now())).isEqualTo(runningAt)
        runFor(3)
        expectThat(detector.earliestTimeOf(clock.now())).isEqualTo(clock.now())
    }

    /** Guards against a stop right after a slow start, which refuses requests sooner than it has to. */
    @Test
    fun `Given a process that takes long to start, when a signal follows its first tick, then it has just come`() {
        clock.advance(1.seconds)
        detector.tick()
        clock.advance(50.milliseconds)
        expectThat(detector.earliestTimeOf(clock.now())).isEqualTo(clock.now())
    }

    private companion object {
        val START = 100.seconds
        val INTERVAL = 200.milliseconds
    }
}
