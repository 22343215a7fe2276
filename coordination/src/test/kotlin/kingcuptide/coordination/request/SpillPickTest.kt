package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Which requests leave the region of their callers, seen by one entry of three regions with one target each. */
internal class SpillPickTest {
    private val clock = ManualClock()
    private val location = DaemonLocation(domain("a"), RegionId("a")) { RegionId(it.value) }
    private val picker = TargetPicker(clock, location, Random(1))
    private val targets = REGIONS.map(::target)
    private val picks = HashMap<RouteId, ArrayList<TargetPick>>()

    private fun domain(name: String) = FailureDomainId(name)

    private fun target(name: String) = KnownTarget(
        TargetEntry(
            TargetId(name),
            SERVICE,
            "192.0.2.1",
            80,
            domain(name),
            "v1",
            SLOTS,
            leaving = false,
            coldFor = Duration.ZERO,
            startedAtUnixMs = 0,
            reports = 1,
        ),
        revision = 1,
    )

    private class Flow(
        val route: RouteId,
        val perSecond: Int,
        val runTime: Duration,
        val homes: Set<RegionId> = emptySet(),
        val bodyBytes: Int = 0,
        val responseBytes: Int = 1_000,
    ) {
        val slots: Double get() = perSecond * (runTime / 1.seconds)
    }

    /** Sends [flows] for [length] while the other regions report the demand [others] for any target of the service. */
    private fun send(flows: List<Flow>, others: Double, length: Duration = 20.seconds) {
        val steps = (length / STEP).toInt()
        repeat(steps) { step ->
            clock.advance(STEP)
            if (step % STEPS_PER_REPORT == 0) report(others)
            for (flow in flows) {
                val due = (step + 1) * flow.perSecond / STEPS_PER_SECOND - step * flow.perSecond / STEPS_PER_SECOND
                repeat(due) { send(flow) }
            }
        }
    }

    private fun report(others: Double) {
        targets.forEach { target ->
            val runTimes = mapOf(routeKeyOf(RouteId("any")) to 100.milliseconds)
            val report = GateLoadReport(5, 0, SLOTS, Duration.ZERO, cold = false, runTimes = runTimes)
            picker.recordLoadReport(target.entry.id, report)
        }
        REGIONS.drop(1).forEach {
            picker.recordDemand(
                TargetId(it),
                domain(it),
                mapOf(
                    DemandPool(SERVICE).key to DemandEstimate(others, 0.0, 0.0),
                ),
            )
        }
    }

    private fun send(flow: Flow) {
        val candidates = targets.filter { flow.homes.isEmpty() || RegionId(it.entry.id.value) in flow.homes }
        val objective = flow.runTime * 3
        val request =
            PickRequest(flow.route, objective, objective, 10.seconds, flow.bodyBytes, emptySet(), flow.homes)
        val pick = checkNotNull(picker.pick(candidates, request))
        val id = pick.target.entry.id
        picks.getOrPut(flow.route) { ArrayList() } += pick
        picker.sent(id)
        picker.answered(id, flow.route, objective, flow.runTime, flow.responseBytes, successful = true)
    }

    /** Share of the latter half of the requests of [flow] that left the region. */
    private fun shareAway(flow: Flow): Double {
        val list = picks.getValue(flow.route).let { it.drop(it.size / 2) }
        return list.count { it.target.entry.failureDomain != location.failureDomain } / list.size.toDouble()
    }

    @Nested
    inner class `Requests that must leave the region` {
        private val lookup = Flow(RouteId("lookup"), perSecond = 60, runTime = 100.milliseconds)
        private val order =
            Flow(
                RouteId("order"),
                perSecond = 35,
                runTime = 100.milliseconds,
                homes = setOf(RegionId("b"), RegionId("c")),
            )

        /** Guards against demand that is counted where it may not be served, which displaced requests that could stay. */
        @Test
        fun `Given room for all that may stay, when others must leave, then none of the former leaves`() {
            send(listOf(lookup, order), others = 5.0)
            expectThat(shareAway(lookup)).isEqualTo(0.0)
            expectThat(picks.getValue(order.route).map { it.reason }.toSet()).isEqualTo(setOf(PickReason.HOME_REGIONS))
        }

        /** Guards against a home region that is taken to have room although others send their requests there. */
        @Test
        fun `Given more requests that may stay than there is room for, when others leave, then the excess does too`() {
            val busy = Flow(RouteId("lookup"), perSecond = 90, runTime = 100.milliseconds)
            send(listOf(busy, order), others = 5.0)
            val excess = 1 - SpillPlan.MIN_LEVEL * SLOTS / busy.slots
            expectThat(shareAway(busy)).isIn(excess - 0.05..excess + 0.05)
        }
    }

    @Nested
    inner class `A region that must give work away` {
        private val view = Flow(RouteId("view"), perSecond = 60, runTime = 100.milliseconds, responseBytes = 5_000)
        private val query = Flow(RouteId("query"), perSecond = 5, runTime = 800.milliseconds, responseBytes = 1_500)
        private val upload = Flow(RouteId("upload"), perSecond = 5, runTime = 100.milliseconds, bodyBytes = 4_000)

        /** Guards against large responses of short requests that cross regions while long requests with few bytes stay. */
        @Test
        fun `Given routes of different size, when work must leave, then that with least bytes for its work does`() {
            send(listOf(view, query, upload), others = 2.0, length = 90.seconds)
            val work = view.slots + query.slots + upload.slots
            val excess = (work - SpillPlan.MIN_LEVEL * SLOTS) / query.slots
            expectThat(shareAway(query)).isIn(excess - 0.1..excess + 0.1)
            expectThat(shareAway(view)).isEqualTo(0.0)
            expectThat(shareAway(upload)).isEqualTo(0.0)
        }

        @Test
        fun `Given more work to move than one route has, when it leaves, then the next one follows in part`() {
            val many = Flow(RouteId("view"), perSecond = 100, runTime = 100.milliseconds, responseBytes = 5_000)
            send(listOf(many, query, upload), others = 1.0)
            expectThat(shareAway(query)).isGreaterThan(0.95)
            expectThat(shareAway(many)).isIn(0.15..0.4)
        }
    }

    @Nested
    inner class `Few long requests` {
        private val query = Flow(RouteId("query"), perSecond = 1, runTime = 2_000.milliseconds)
        private val lookup = Flow(RouteId("lookup"), perSecond = 30, runTime = 100.milliseconds)
        private val random = Random(7)

        /**
         * Guards against chance that is taken for a growing demand: at half of the capacity, two long requests in one
         * second looked like a peak, and requests left the region.
         */
        @Test
        fun `Given requests at random times, when the load is half of the capacity, then next to none leaves`() {
            repeat(30 * STEPS_PER_SECOND) { step ->
                clock.advance(STEP)
                if (step % STEPS_PER_REPORT == 0) report(others = 5.0)
                for (flow in listOf(query, lookup)) {
                    if (random.nextDouble() < flow.perSecond / STEPS_PER_SECOND.toDouble()) send(flow)
                }
            }
            expectThat(shareAway(lookup)).isLessThan(0.02)
            expectThat(shareAway(query)).isLessThan(0.1)
        }
    }

    @Nested
    inner class `Targets that all come back cold` {
        private val lookup =
            PickRequest(RouteId("lookup"), 600.milliseconds, 600.milliseconds, 4.seconds, 0, emptySet())

        private fun reportCold(wait: Duration) = targets.forEach { target ->
            val runTimes = mapOf(routeKeyOf(RouteId("any")) to 100.milliseconds)
            val report = GateLoadReport(1, 5, SLOTS, wait, cold = true, runTimes = runTimes)
            picker.recordLoadReport(target.entry.id, report)
        }

        private fun pick(request: PickRequest) = picker.pick(targets, request)?.target?.entry?.id

        /** Guards against requests that cross regions only to be refused there as well. */
        @Test
        fun `Given reports without room, when a near gate has refused, then no gate of another region is asked`() {
            reportCold(wait = 2.seconds)
            expectThat(pick(lookup)).isEqualTo(TargetId("a"))
            expectThat(pick(lookup.copy(tried = setOf(TargetId("a")), isRefused = true))).isNull()
        }

        @Test
        fun `Given a far target with room, when a near gate has refused, then the far one is asked`() {
            reportCold(wait = 2.seconds)
            val report = GateLoadReport(1, 0, SLOTS, Duration.ZERO, cold = true, runTimes = FAR_RUN_TIMES)
            picker.recordLoadReport(TargetId("c"), report)
            expectThat(pick(lookup.copy(tried = setOf(TargetId("a")), isRefused = true))).isEqualTo(TargetId("c"))
        }

        @Test
        fun `Given a request that a target has lost, when it is repeated, then another region is asked without room`() {
            reportCold(wait = 2.seconds)
            expectThat(pick(lookup.copy(tried = setOf(TargetId("a"))))).isNotNull()
        }
    }

    private companion object {
        val FAR_RUN_TIMES = mapOf(routeKeyOf(RouteId("any")) to 100.milliseconds)
        val REGIONS = listOf("a", "b", "c")
        val SERVICE = ServiceId("s")
        const val SLOTS = 10
        const val STEPS_PER_SECOND = 100
        const val STEPS_PER_REPORT = 50
        val STEP = 1.seconds / STEPS_PER_SECOND
    }
}
