package kingcuptide.forwarder.process

import kingcuptide.forwarder.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class LineLimiterTest {
    private val clock = ManualClock()
    private val limiter = LineLimiter(clock, perSecond = 3)

    @Test
    fun `Given twenty times the usual load, when a second is over, then the next line says how many were left out`() {
        val taken = List(60) { limiter.tryAcquire("refused 202") }
        expectThat(taken.count { it != null }).isEqualTo(3)
        clock.advance(1.seconds)
        expectThat(limiter.tryAcquire("refused 202")).isEqualTo(57)
        expectThat(limiter.tryAcquire("refused 202")).isEqualTo(0)
    }

    @Test
    fun `Given one kind that is spent, when a line of another kind comes, then it is written`() {
        repeat(10) { limiter.tryAcquire("refused 202") }
        expectThat(limiter.tryAcquire("refused 203")).isEqualTo(0)
    }
}
