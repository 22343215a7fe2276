package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class CallerWaitsTest {
    private val random = Random(1)
    private val waits = CallerWaits()
    private val route = RouteId("r")

    /** Records first attempts with deadlines from 3.4 to 4 s. */
    private fun firstAttempts(times: Int): List<Duration> =
        List(times) { waits.record(route, 3_400.milliseconds + 600.milliseconds * random.nextDouble()) }

    @Test
    fun `Given first attempts with about the same deadline, when they arrive, then none has waited`() {
        expectThat(firstAttempts(500).toSet()).isEqualTo(setOf(Duration.ZERO))
    }

    @Test
    fun `Given a retry, when it arrives, then it has waited for about what is missing of the usual deadline`() {
        firstAttempts(100)
        expectThat(waits.record(route, 2.seconds)).isIn(1_400.milliseconds..2.seconds)
    }

    @Test
    fun `Given two retries for each first attempt, when they last, then first attempts still count as such`() {
        repeat(300) {
            waits.record(route, 1_500.milliseconds)
            waits.record(route, 2_500.milliseconds)
            expectThat(firstAttempts(1).single()).isEqualTo(Duration.ZERO)
        }
        expectThat(waits.record(route, 2_500.milliseconds)).isIn(900.milliseconds..1_500.milliseconds)
    }

    @Test
    fun `Given a route whose callers now wait less, when their requests arrive, then they soon count as first ones`() {
        firstAttempts(100)
        val shorter = List(500) { waits.record(route, 2.seconds) }
        expectThat(shorter.last()).isEqualTo(Duration.ZERO)
    }

    @Test
    fun `Given another route, when its callers wait less, then they have not waited`() {
        firstAttempts(100)
        expectThat(waits.record(RouteId("other"), 300.milliseconds)).isEqualTo(Duration.ZERO)
    }
}
