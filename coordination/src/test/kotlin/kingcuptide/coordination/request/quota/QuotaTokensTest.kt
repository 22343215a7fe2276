package kingcuptide.coordination.request.quota

import kingcuptide.coordination.request.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class QuotaTokensTest {
    private val clock = ManualClock()
    private val weights = QuotaWeights(clock, processAge = 10.seconds).apply { refresh(isRoot = true) }
    private val tokens = QuotaTokens(1, QuotaLimit(ratePerSecond = 1.0, burst = 0.0), weights.filledSeconds)

    private fun pass(seconds: Int) = repeat(seconds * STEPS_PER_SECOND) {
        clock.advance(STEP)
        weights.integrate()
    }

    /** Guards against a request that is refused elsewhere and costs its workspace the next one as well. */
    @Test
    fun `Given a token that comes back unused, when the bucket has filled up meanwhile, then both can be used`() {
        pass(seconds = 3)
        expectThat(tokens.takeFilled(1, weights)).isEqualTo(1)
        pass(seconds = 3)
        tokens.refill(1, weights)
        expectThat(tokens.takeFilled(5, weights)).isEqualTo(2)
    }

    /** Guards against a burst of tokens that were returned over a long time. */
    @Test
    fun `Given a workspace without a burst, when many tokens come back, then at most one more than usual is kept`() {
        pass(seconds = 3)
        tokens.refill(10, weights)
        expectThat(tokens.takeFilled(20, weights)).isEqualTo(2)
    }

    @Test
    fun `Given surplus tokens, when the limit changes or the host loses its share, then none is left`() {
        pass(seconds = 3)
        tokens.refill(1, weights)
        tokens.change(QuotaLimit(ratePerSecond = 0.9, burst = 0.0), weights)
        expectThat(tokens.takeFilled(5, weights)).isEqualTo(1)
        tokens.refill(5, weights)
        tokens.emptyBucket(weights)
        expectThat(tokens.takeFilled(5, weights)).isEqualTo(0)
    }

    private companion object {
        const val STEPS_PER_SECOND = 50
        val STEP = 20.milliseconds
    }
}
