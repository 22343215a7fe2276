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
    private val turns = WeightedRoundRobin()

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
    fun `Given weights 90 and 10, when any run of requests is dealt, then each part is within one of its share`() {
        val route = route(90, 10)
        var minor = 0
        for (count in 1..500) {
            if (turns.next(route) == ServiceId("s1")) minor++
            expectThat(abs(minor - count * 0.1)).isLessThanOrEqualTo(1.0)
        }
    }

    @Test
    fun `Given changed weights, when the next request is dealt, then the new ones hold`() {
        repeat(7) { turns.next(route(90, 10)) }
        val dealt = List(100) { turns.next(route(10, 90)) }
        expectThat(dealt.count { it == ServiceId("s1") }).isEqualTo(90)
    }
}
