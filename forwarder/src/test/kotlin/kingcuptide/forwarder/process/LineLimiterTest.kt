package kingcuptide.forwarder.process

import kingcuptide.forwarder.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class LineLimiterTest {
    private val clock = ManualClock()
    private val limiter = LineLimiter(clock, linesPerSecond = 3)

    @Test
    fun `Given twenty times the usual load, when a second has passed, then the next line has the number left out`() {
        val results = List(60) { limiter.tryAcquire("refused 202") }
        expectThat(results.count { it != null }).isEqualTo(3)
        clock.advance(1.seconds)
        expectThat(limiter.tryAcquire("refused 202")).isEqualTo(57)
        expectThat(limiter.tryAcquire("refused 202")).isEqualTo(0)
    }

    @Test
    fun `Given one kind at its limit, when a line of another kind is written, then it passes`() {
        repeat(10) { limiter.tryAcquire("refused 202") }
        expectThat(limiter.tryAcquire("refused 203")).isEqualTo(0)
    }
}
