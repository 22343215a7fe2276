package kingcuptide.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class IdleLimitTest {
    private val clock = ManualClock()
    private val limit = IdleLimit(clock)

    @Test
    fun `Given a target's word, when nothing was lost, then calls that may run once trust it less`() {
        expectThat(limit.maxIdleTime(10.seconds, isRepeatable = true)).isEqualTo(7.seconds)
        expectThat(limit.maxIdleTime(10.seconds, isRepeatable = false)).isEqualTo(3.seconds)
    }

    /** Pattern: targets forget connections that rested for 300 ms, while calls come 10 a second on 20 connections. */
    @Test
    fun `Given a target that forgets connections sooner than it says, when calls go on, then few are lost`() {
        val restedSince = MutableList(20) { clock.now() }
        var lost = 0
        repeat(400) { round ->
            clock.advance(100.milliseconds)
            val index = round % restedSince.size
            val rested = clock.now() - restedSince[index]
            if (rested <= limit.maxIdleTime(10.seconds, isRepeatable = true) && rested > 300.milliseconds) {
                lost++
                limit.recordConnectionLoss(rested, AT_ONCE)
            }
            restedSince[index] = clock.now()
        }
        expectThat(lost).isLessThanOrEqualTo(8)
    }

    @Test
    fun `Given a limit that was learned, when time passes, then the target's word holds again`() {
        limit.recordConnectionLoss(400.milliseconds, AT_ONCE)
        expectThat(limit.maxIdleTime(10.seconds, isRepeatable = true)).isLessThan(300.milliseconds)
        clock.advance(IdleLimit.MEMORY + 1.milliseconds)
        expectThat(limit.maxIdleTime(10.seconds, isRepeatable = true)).isEqualTo(7.seconds)
    }

    @Test
    fun `Given a connection that was in use just now, when a call on it is lost, then nothing is learned`() {
        limit.recordConnectionLoss(20.milliseconds, AT_ONCE)
        expectThat(limit.maxIdleTime(10.seconds, isRepeatable = true)).isEqualTo(7.seconds)
    }

    @Test
    fun `Given a target that loses answers, when a call is lost after it ran, then nothing is learned`() {
        limit.recordConnectionLoss(400.milliseconds, took = 90.milliseconds)
        expectThat(limit.maxIdleTime(10.seconds, isRepeatable = true)).isEqualTo(7.seconds)
    }

    private companion object {
        val AT_ONCE = 1.milliseconds
    }
}
