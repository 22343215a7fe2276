package kingcuptide.coordination.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gate with room for many requests whose target has named a rate. */
internal class NamedRateTest {
    private val clock = ManualClock()
    private val gate = TargetGate(clock).apply {
        slots = 50
        coldFor(Duration.ZERO)
    }
    private val running = ArrayDeque<GateRequest>()
    private val starts = ArrayList<Duration>()
    private val refused = ArrayList<GateRefusal>()

    private fun offer(objective: Duration = 500.milliseconds) {
        val now = clock.now()
        lateinit var request: GateRequest
        request = GateRequest(
            route = RouteId("r"),
            priority = 1,
            deadline = now + 3.seconds,
            objectiveAt = now + objective,
            objective = objective,
            onStart = {
                starts += clock.now()
                running += request
            },
            onRefused = { refused += it },
        )
        gate.offer(request)
    }

    private fun endAll() {
        while (running.isNotEmpty()) gate.ended(running.removeFirst(), completed = false)
    }

    /** Offers a request each 10 ms, more than any rate here allows, for [time]. */
    private fun offerFor(time: Duration) = repeat((time / 10.milliseconds).toInt()) {
        offer()
        clock.advance(10.milliseconds)
        gate.serve()
        endAll()
    }

    @Nested
    inner class `Requests at a named rate` {
        @Test
        fun `Given rates with fractions, when more is asked, then starts in any window stay near the rate`() {
            for (rate in listOf(0.4, 5.6, 12.9)) {
                starts.clear()
                gate.ratePerSecond = rate
                offerFor(20.seconds)
                val inWindow = starts.maxOf { end -> starts.count { it > end - 4.seconds && it <= end } }
                expectThat(inWindow.toDouble()).isLessThanOrEqualTo(rate * 4.25 + 1)
                expectThat(starts.size.toDouble()).isGreaterThanOrEqualTo(rate * 20 * 0.9 - 1)
            }
        }

        @Test
        fun `Given a rate of zero, when requests arrive, then all are refused with a finite retry delay`() {
            gate.ratePerSecond = 0.0
            offerFor(1.seconds)
            expectThat(starts).isEmpty()
            expectThat(refused.map { it.code }.toSet()).containsExactly(ResultCode.TARGET_RATE_SPENT)
            expectThat(refused.maxOf { it.retryAfter }).isLessThanOrEqualTo(5.seconds)
            expectThat(gate.loadReport().wait.isFinite()).isEqualTo(true)
        }

        @Test
        fun `Given a spent rate, when a request can't wait for the next token, then it hears when one is there`() {
            gate.ratePerSecond = 1.0
            offer(objective = 100.milliseconds)
            expectThat(refused.single().code).isEqualTo(ResultCode.TARGET_RATE_SPENT)
            expectThat(refused.single().retryAfter).isGreaterThan(900.milliseconds)
        }

        @Test
        fun `Given a rate, when the target withdraws it, then requests start at once`() {
            gate.ratePerSecond = 0.0
            gate.ratePerSecond = null
            offerFor(100.milliseconds)
            expectThat(starts.size).isEqualTo(10)
            expectThat(gate.loadReport().ratePerSecond).isNull()
        }

        @Test
        fun `Given a cold target with a rate, when requests arrive, then the lesser bound holds`() {
            gate.coldRequestsPerSecond = 3
            gate.coldFor(20.seconds)
            gate.ratePerSecond = 30.0
            offerFor(10.seconds)
            val inSecond = starts.maxOf { end -> starts.count { it > end - 1.seconds && it <= end } }
            expectThat(inSecond).isLessThanOrEqualTo(3)
        }
    }
}
