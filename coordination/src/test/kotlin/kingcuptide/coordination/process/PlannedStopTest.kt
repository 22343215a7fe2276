package kingcuptide.coordination.process

import kingcuptide.coordination.request.ManualClock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class PlannedStopTest {
    private val clock = ManualClock(START)
    private val stop = PlannedStop(clock)

    @Nested
    inner class BeforeStopRequest {
        @Test
        fun `Given no stop request, when a request arrives, then it is accepted and the daemon may not exit`() {
            expectThat(stop.isTooLate(clock.now())).isFalse()
            expectThat(stop.isOver(isIdle = true)).isFalse()
            expectThat(stop.responseBy(START + 60.seconds)).isEqualTo(START + 60.seconds)
        }
    }

    @Nested
    inner class AfterStopRequest {
        init {
            stop.begin(LIMIT)
        }

        @Test
        fun `Given an idle daemon, when callers may not have seen yet that it is leaving, then it may not exit`() {
            clock.advance(PlannedStop.READINESS_NOTICE - 1.milliseconds)
            expectThat(stop.isOver(isIdle = true)).isFalse()
            clock.advance(1.milliseconds)
            expectThat(stop.isOver(isIdle = true)).isTrue()
        }

        @Test
        fun `Given a daemon that never becomes idle, when its time is up, then it exits before it would be killed`() {
            var ended: Duration? = null
            repeat(LIMIT.inWholeMilliseconds.toInt()) {
                clock.advance(1.milliseconds)
                if (ended == null && stop.isOver(isIdle = false)) ended = clock.now()
            }
            expectThat(ended!! - START).isLessThan(LIMIT * 5 / 6 + LIMIT / 10)
        }

        @Test
        fun `Given a second stop request, when it arrives later, then the times of the first one stay`() {
            clock.advance(2.seconds)
            expectThat(stop.begin(LIMIT)).isFalse()
            clock.advance(3_300.milliseconds)
            expectThat(stop.isOver(isIdle = false)).isTrue()
        }

        /** Guards against targets that are idle for the whole stop of their daemon, several at a time in a restart of all. */
        @Test
        fun `Given a stop, when callers have not noticed it yet, then the target is still in use for a time`() {
            expectThat(stop.servesTarget).isTrue()
            clock.advance(PlannedStop.TARGET_USE_AFTER_STOP)
            expectThat(stop.servesTarget).isFalse()
            expectThat(PlannedStop.TARGET_USE_AFTER_STOP).isLessThan(PlannedStop.READINESS_NOTICE)
        }

        /** Guards against a target that still works on a request when the daemon of its caller exits. */
        @Test
        fun `Given a stop, when a caller would wait for longer, then its response is due before the daemon exits`() {
            val exitsAt = START + PlannedStop.maxStopDuration(LIMIT)
            expectThat(stop.responseBy(exitsAt + 1.seconds)).isLessThan(exitsAt)
            expectThat(stop.responseBy(START + 1.seconds)).isEqualTo(START + 1.seconds)
        }

        @Test
        fun `Given requests in and after the acceptance period, when they arrive, then only the later is refused`() {
            clock.advance(PlannedStop.ACCEPT_AFTER_STOP)
            expectThat(stop.isTooLate(clock.now())).isFalse()
            expectThat(stop.isTooLate(clock.now() + 1.milliseconds)).isTrue()
        }
    }

    private companion object {
        val START = 100.seconds
        val LIMIT = 6.seconds
    }
}
