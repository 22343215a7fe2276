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
    fun `Given an advertised timeout, when no call was lost, then non-idempotent calls use a smaller share of it`() {
        expectThat(limit.maxIdleTime(10.seconds, isIdempotent = true)).isEqualTo(7.seconds)
        expectThat(limit.maxIdleTime(10.seconds, isIdempotent = false)).isEqualTo(3.seconds)
    }

    /** Pattern: targets close connections after 300 ms of idle time, while 10 calls a second use 20 connections. */
    @Test
    fun `Given a target that closes idle connections early, when calls continue, then few of them are lost`() {
        val idleSince = MutableList(20) { clock.now() }
        var lossCount = 0
        repeat(400) { round ->
            clock.advance(100.milliseconds)
            val index = round % idleSince.size
            val idleTime = clock.now() - idleSince[index]
            if (idleTime <= limit.maxIdleTime(10.seconds, isIdempotent = true) && idleTime > 300.milliseconds) {
                lossCount++
                limit.recordConnectionLoss(idleTime, RESET_TIME)
            }
            idleSince[index] = clock.now()
        }
        expectThat(lossCount).isLessThanOrEqualTo(8)
    }

    @Test
    fun `Given a learned limit, when its lifetime has passed, then the advertised timeout applies again`() {
        limit.recordConnectionLoss(400.milliseconds, RESET_TIME)
        expectThat(limit.maxIdleTime(10.seconds, isIdempotent = true)).isLessThan(300.milliseconds)
        clock.advance(IdleLimit.LEARNED_LIMIT_LIFETIME + 1.milliseconds)
        expectThat(limit.maxIdleTime(10.seconds, isIdempotent = true)).isEqualTo(7.seconds)
    }

    @Test
    fun `Given a connection that was idle only briefly, when a call on it is lost, then the limit stays`() {
        limit.recordConnectionLoss(20.milliseconds, RESET_TIME)
        expectThat(limit.maxIdleTime(10.seconds, isIdempotent = true)).isEqualTo(7.seconds)
    }

    @Test
    fun `Given a target that fails during calls, when a call is lost after it ran, then the limit stays`() {
        limit.recordConnectionLoss(400.milliseconds, elapsed = 90.milliseconds)
        expectThat(limit.maxIdleTime(10.seconds, isIdempotent = true)).isEqualTo(7.seconds)
    }

    private companion object {
        val RESET_TIME = 1.milliseconds
    }
}
