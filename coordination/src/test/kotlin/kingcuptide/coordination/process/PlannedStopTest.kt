package kingcuptide.coordination.process

import kingcuptide.coordination.request.ManualClock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
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
            val exitsAt = START + stop.timeLeft
            expectThat(stop.responseBy(exitsAt + 1.seconds)).isLessThan(exitsAt)
            expectThat(stop.responseBy(START + 1.seconds)).isEqualTo(START + 1.seconds)
        }

        @Test
        fun `Given requests in and after the acceptance period, when they arrive, then only the later is refused`() {
            clock.advance(PlannedStop.ACCEPT_AFTER_STOP)
            expectThat(stop.isTooLate(clock.now())).isFalse()
            expectThat(stop.isTooLate(clock.now() + 1.milliseconds)).isTrue()
        }

        /** Guards against requests that are passed on and can only be cut, as the signal came before it was seen. */
        @Test
        fun `Given a signal that is seen late, when a request is sent over 3 s after it, then it is refused`() {
            expectThat(stop.isTooLate(START + 3.seconds - SIGNAL_TIME)).isTrue()
        }

        /** Guards against requests that are taken while the daemon ends their connections. */
        @Test
        fun `Given an idle daemon that has ended its stop, when a request arrives, then it is too late`() {
            clock.advance(PlannedStop.READINESS_NOTICE)
            expectThat(stop.isTooLate(clock.now())).isFalse()
            stop.isOver(isIdle = true)
            expectThat(stop.isTooLate(clock.now())).isTrue()
        }

        /** Guards against requests that start behind others of their connection when no target can respond in time. */
        @Test
        fun `Given a request that waited behind others, when no response can be in time, then it is too late`() {
            clock.advance(stop.responseBy(Duration.INFINITE) - START)
            expectThat(stop.isTooLate(START + 1.seconds)).isTrue()
        }
    }

    @Nested
    inner class AfterHoldUp {
        init {
            clock.advance(HOLD_UP)
            stop.begin(LIMIT, noticedAt = clock.now(), earliestRequestAt = START)
        }

        /** Guards against times that count from when a process that was held up sees the signal. */
        @Test
        fun `Given a stop that began late, when its time is over, then it exits before the kill`() {
            clock.advance(LIMIT - HOLD_UP - 250.milliseconds)
            expectThat(stop.isOver(isIdle = false)).isTrue()
        }

        @Test
        fun `Given a stop that began late, when a request comes over 3 s after the signal, then it is refused`() {
            expectThat(stop.isTooLate(START + 2.seconds)).isFalse()
            expectThat(stop.isTooLate(START + 3.seconds)).isTrue()
        }
    }

    /** Guards against an exit behind the kill, and requests that are taken until then, where the limit is short. */
    @Test
    fun `Given any limit, when the stop runs, then it takes nothing at its end and exits before the kill`() {
        for (limit in listOf(1.seconds, 2.seconds, 3.seconds, 6.seconds, 10.seconds)) {
            val stop = PlannedStop(clock).apply { begin(limit) }
            expectThat(stop.timeLeft).isLessThan(limit - 200.milliseconds)
            val dueIn = stop.responseBy(Duration.INFINITE) - clock.now()
            expectThat(dueIn).isLessThanOrEqualTo(stop.timeLeft)
            if (limit > 1.seconds) expectThat(dueIn).isGreaterThanOrEqualTo(limit * 5 / 6)
            clock.advance(dueIn)
            expectThat(stop.isTooLate(clock.now())).isTrue()
        }
    }

    private companion object {
        val START = 100.seconds
        val LIMIT = 6.seconds
        val HOLD_UP = 1_200.milliseconds
        val SIGNAL_TIME = 100.milliseconds
    }
}
