package kingcuptide.forwarder.process

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.Distance
import kingcuptide.coordination.request.PickReason
import kingcuptide.forwarder.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against traffic between regions of which no metric tells what it carries or why it crosses. */
internal class TrafficCountsTest {
    private val metrics = DaemonMetrics()
    private val counts = TrafficCounts(ManualClock()).also { it.registerIn(metrics) }

    /** Returns the value of the counter [name] with [labels], as the metrics address shows it. */
    private fun counter(name: String, vararg labels: String): Double? = metrics.scrape().lines()
        .firstOrNull { line -> line.startsWith("${name}_total{") && labels.all { it in line } }
        ?.substringAfterLast(' ')
        ?.toDouble()

    @Test
    fun `Given exchanges and refusals, when metrics are read, then bytes are split by distance and reason`() {
        counts.exchanged(RouteId("r"), Distance.OTHER_REGION, PickReason.PLANNED_SPILL, 1_000)
        counts.exchanged(RouteId("r"), Distance.OTHER_REGION, PickReason.HOME_REGIONS, 200)
        counts.exchanged(RouteId("r"), Distance.SAME_DOMAIN, PickReason.NEAREST, 30)
        counts.refused(Distance.OTHER_REGION, 4_000)
        val spilled = counter("kingcuptide_exchanged_bytes", "distance=\"other_region\"", "reason=\"planned_spill\"")
        val nearest = counter("kingcuptide_exchanges", "distance=\"same_domain\"", "reason=\"nearest\"")
        expectThat(spilled).isEqualTo(1_000.0)
        expectThat(nearest).isEqualTo(1.0)
        expectThat(counter("kingcuptide_refused_request_bytes", "distance=\"other_region\"")).isEqualTo(4_000.0)
    }

    @Test
    fun `Given messages to peers, when metrics are read, then bytes are split by kind and distance`() {
        counts.sentToPeer("answer", Distance.OTHER_REGION, 700)
        counts.sentToPeer("ping", Distance.SAME_REGION, 90)
        expectThat(counter("kingcuptide_peer_bytes", "kind=\"answer\"", "distance=\"other_region\"")).isEqualTo(700.0)
        expectThat(counter("kingcuptide_peer_bytes", "kind=\"ping\"", "distance=\"same_region\"")).isEqualTo(90.0)
    }

    @Test
    fun `Given many routes, when they are counted, then the number of series stays bounded`() {
        val before = metrics.scrape().lines().size
        repeat(1_000) { counts.exchanged(RouteId("r$it"), Distance.OTHER_REGION, PickReason.NONE_NEARER, 1) }
        expectThat(metrics.scrape().lines().size).isEqualTo(before)
        expectThat(counts.largestOtherRegionRoutes().size).isLessThan(20)
        expectThat(counts.largestOtherRegionRoutes().map { it.first }).contains(RouteId("other"))
    }
}
