package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.ForwardRoute
import kingcuptide.coordination.version.WeightedService
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.math.abs
import kotlin.time.Duration.Companion.seconds

internal class WeightedRoundRobinTest {
    private val roundRobin = WeightedRoundRobin()

    private fun route(vararg weights: Int) = ForwardRoute(
        RouteId("r"),
        "host",
        "/",
        idempotent = true,
        priority = 1,
        timeout = 1.seconds,
        objective = 1.seconds,
        maxTargets = 2,
        destinations = weights.mapIndexed { index, weight -> WeightedService(ServiceId("s$index"), weight) },
        homeRegions = emptySet(),
    )

    @Test
    fun `Given weights 90 and 10, when requests are distributed, then each count is always within one of its share`() {
        val route = route(90, 10)
        var minorCount = 0
        for (count in 1..500) {
            if (roundRobin.next(route) == ServiceId("s1")) minorCount++
            expectThat(abs(minorCount - count * 0.1)).isLessThanOrEqualTo(1.0)
        }
    }

    @Test
    fun `Given changed weights, when the next request is distributed, then the new ones apply`() {
        repeat(7) { roundRobin.next(route(90, 10)) }
        val services = List(100) { roundRobin.next(route(10, 90)) }
        expectThat(services.count { it == ServiceId("s1") }).isEqualTo(90)
    }
}
