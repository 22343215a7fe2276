package kingcuptide.coordination.request

import kingcuptide.coordination.process.ServiceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RetryAllowanceTest {
    private val clock = ManualClock()
    private val settings = RetryAllowanceSettings(retryRatio = 0.2, extraRetries = 50, window = 10.seconds)

    @Test
    fun `Given ten daemons that use their whole allowance, when counted together, then the fleet's limit holds`() {
        val daemons = List(10) { RetryAllowance(clock, { settings }) { 10 } }
        var requests = 0
        val retries = ArrayList<kotlin.time.Duration>()
        repeat(3_000) {
            daemons.forEach { daemon ->
                if (it % 5 == 0) daemon.recordRequest(SERVICE)
                if (it % 5 == 0) requests++
                if (daemon.tryAcquire(SERVICE)) retries += clock.now()
            }
            clock.advance(10.milliseconds)
        }
        val requestsPerWindow = requests / 3
        val mostInOneWindow = retries.maxOf { from -> retries.count { it >= from && it - from <= 10.seconds } }
        expectThat(mostInOneWindow.toDouble()).isLessThanOrEqualTo(
            settings.retryRatio * requestsPerWindow + settings.extraRetries,
        )
    }

    @Test
    fun `Given an exhausted allowance, when the window has passed, then retries are allowed again`() {
        val allowance = RetryAllowance(clock, { settings }) { 10 }
        val acquired = generateSequence { allowance.tryAcquire(SERVICE) }.takeWhile { it }.count()
        expectThat(acquired).isEqualTo(2)
        expectThat(allowance.tryAcquire(SERVICE)).isFalse()
        clock.advance(11.seconds)
        expectThat(allowance.tryAcquire(SERVICE)).isTrue()
    }

    /**
     * Retry amplification: the targets of a service reject half of their requests, so that the requests of its callers
     * fail and are retried, and each retry makes its calls again.
     */
    @Test
    fun `Given calling requests that fail and are retried, when each makes two calls, then the limit holds`() {
        val allowance = RetryAllowance(clock, { settings }) { 1 }
        var calls = 0
        var retriedCalls = 0
        repeat(10_000) {
            if (it % 3 == 0) allowance.recordRequest(PARENT)
            val parentRetries = allowance.tryAcquire(PARENT)
            val runs = (if (it % 3 == 0) 1 else 0) + (if (parentRetries) 1 else 0)
            repeat(2 * runs) {
                calls++
                allowance.recordRequest(SERVICE)
                if (allowance.tryAcquire(SERVICE)) retriedCalls++
            }
            if (parentRetries) retriedCalls += 2
            clock.advance(1.milliseconds)
        }
        expectThat(retriedCalls.toDouble()).isLessThanOrEqualTo(settings.retryRatio * calls + settings.extraRetries)
    }

    private companion object {
        val PARENT = ServiceId("rounds")
        val SERVICE = ServiceId("parcels")
    }
}
