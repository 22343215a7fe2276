package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class TargetPickerSpeedTest {
    private val clock = ManualClock()
    private val location = DaemonLocation(FailureDomainId("a"), RegionId("north")) { RegionId("north") }
    private val picker = TargetPicker(clock, location, Random(1))
    private val targets = List(4) { target("t$it") }

    private fun target(name: String) = KnownTarget(
        TargetEntry(
            TargetId(name),
            ServiceId("s"),
            "192.0.2.1",
            80,
            FailureDomainId("a"),
            "v1",
            slots = 10,
            leaving = false,
            coldFor = Duration.ZERO,
            startedAtUnixMs = 0,
            reports = 1,
        ),
        revision = 1,
    )

    private fun report(number: Int, runTime: Duration, cold: Boolean = false, wait: Duration = Duration.ZERO) {
        val runTimes = mapOf(routeKeyOf(ROUTE) to runTime)
        picker.recordLoadReport(targets[number].entry.id, GateLoadReport(5, 0, 10, wait, cold, runTimes = runTimes))
    }

    /** Returns how many of 4,000 requests that are answered at once go to each target. */
    private fun distribute(): List<Int> {
        val request = PickRequest(ROUTE, 500.milliseconds, 500.milliseconds, 3.seconds, 0, emptySet())
        val picked = List(4_000) { checkNotNull(picker.pick(targets, request)).target }
        return targets.map { target -> picked.count { it === target } }
    }

    @Test
    fun `Given a target of half the speed, when requests are sent, then it gets fewer and the others are alike`() {
        for (number in 0..2) report(number, 80.milliseconds)
        report(3, 160.milliseconds)
        val counts = distribute()
        expectThat(counts[3]).isLessThan(600)
        counts.take(3).forEach { expectThat(it).isIn(1_150..1_450) }
        expectThat(picker.assumedSpeed(targets[3].entry.id)).isIn(0.6..0.65)
    }

    /** Guards against a cold target that attracts requests by its short queue, since its gate refuses most. */
    @Test
    fun `Given a cold target, when requests are sent, then it gets few, and none while it takes no more`() {
        for (number in 0..3) report(number, 80.milliseconds, cold = number == 3)
        expectThat(distribute()[3]).isIn(1..300)
        report(3, 80.milliseconds, cold = true, wait = 900.milliseconds)
        expectThat(distribute()[3]).isEqualTo(0)
        clock.advance(800.milliseconds)
        expectThat(distribute()[3]).isGreaterThan(0)
    }

    @Test
    fun `Given run times out of range, when they are reported, then the choice is as without any`() {
        for (number in 0..3) report(number, if (number == 3) Duration.ZERO else 2_000.seconds)
        expectThat(picker.assumedSpeed(targets[3].entry.id)).isEqualTo(1.0)
        distribute().forEach { expectThat(it).isIn(800..1_200) }
    }

    private companion object {
        val ROUTE = RouteId("rounds")
    }
}
