package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RetryAllowanceTest {
    private val clock = ManualClock()
    private val settings = RetryAllowanceSettings(retryRatio = 0.2, extraRetries = 50, window = 10.seconds)

    @Test
    fun `Given ten daemons that use their whole allowance, when counted together, then the fleet's limit holds`() {
        val daemons = List(10) { RetryAllowance(clock, { settings }) { 10 } }
        var requests = 0
        val retries = ArrayList<Duration>()
        repeat(3_000) {
            daemons.forEach { daemon ->
                if (it % 5 == 0) daemon.recordRequest(SERVICE)
                if (it % 5 == 0) requests++
                if (daemon.tryAcquire(SERVICE, emptyMap())) retries += clock.now()
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
        val acquired = generateSequence { allowance.tryAcquire(SERVICE, emptyMap()) }.takeWhile { it }.count()
        expectThat(acquired).isEqualTo(2)
        expectThat(allowance.tryAcquire(SERVICE, emptyMap())).isFalse()
        clock.advance(11.seconds)
        expectThat(allowance.tryAcquire(SERVICE, emptyMap())).isTrue()
    }

    /**
     * Retry amplification: the targets of a service reject half of their requests, so that the requests of its callers
     * fail and are retried, and each retry makes its calls again. Only requests of callers raise the limit.
     */
    @Test
    fun `Given calling requests that fail and are retried, when each makes two calls, then the limit holds`() {
        val allowance = RetryAllowance(clock, { settings }) { 1 }
        val calls = mapOf(serviceKeyOf(SERVICE) to 2.0)
        val requests = ArrayList<Duration>()
        val repeated = ArrayList<Duration>()
        repeat(30_000) {
            if (it % 3 == 0) allowance.recordRequest(PARENT)
            if (it % 9 == 0) allowance.recordRequest(SERVICE)
            if (it % 9 == 0) requests += clock.now()
            val parentRetries = allowance.tryAcquire(PARENT, calls)
            if (parentRetries) repeat(2) { repeated += clock.now() }
            if (allowance.tryAcquire(SERVICE, emptyMap())) repeated += clock.now()
            clock.advance(1.milliseconds)
        }
        val perWindow = requests.size / 3
        val mostInOneWindow = repeated.maxOf { from -> repeated.count { it >= from && it - from <= 10.seconds } }
        expectThat(mostInOneWindow.toDouble())
            .isLessThanOrEqualTo(settings.retryRatio * perWindow + settings.extraRetries)
    }

    /** Guards against a partial failure of a service in which most of the fleet's retries stay unused. */
    @Test
    fun `Given requests that make no calls, when half of them are refused, then most of the limit can be used`() {
        val daemons = List(10) { RetryAllowance(clock, { settings }) { 10 } }
        var retries = 0
        repeat(1_000) { step ->
            daemons.forEach { it.recordRequest(SERVICE) }
            if (step % 2 == 0) retries += daemons.count { it.tryAcquire(SERVICE, emptyMap()) }
            clock.advance(10.milliseconds)
        }
        val limit = settings.retryRatio * 10_000 + settings.extraRetries
        expectThat(retries.toDouble()).isGreaterThan(limit * 0.7)
        expectThat(retries.toDouble()).isLessThanOrEqualTo(limit)
    }

    /** Guards against retries that amplify before the first response has told what a run calls. */
    @Test
    fun `Given a route of which no run is known, when it is retried, then it counts as several retries`() {
        val allowance = RetryAllowance(clock, { settings }) { 1 }
        val unknown = generateSequence { allowance.tryAcquire(SERVICE, null) }.takeWhile { it }.count()
        clock.advance(11.seconds)
        val known = generateSequence { allowance.tryAcquire(SERVICE, emptyMap()) }.takeWhile { it }.count()
        expectThat(unknown).isEqualTo(known / 4)
    }

    @Test
    fun `Given runs that make calls, when they are recorded, then the mean of each route is known`() {
        val costs = CallCosts()
        val route = RouteId("lookup")
        expectThat(costs.of(route)).isNull()
        repeat(1_000) { costs.record(route, if (it % 10 < 7) mapOf(serviceKeyOf(SERVICE) to 1) else emptyMap()) }
        expectThat(costs.of(route)?.get(serviceKeyOf(SERVICE)) ?: 0.0).isIn(0.5..0.9)
    }

    private companion object {
        val PARENT = ServiceId("rounds")
        val SERVICE = ServiceId("parcels")
    }
}
