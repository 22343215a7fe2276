package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against groups that a full gate serves far less often than the others, or not at all. */
internal class GateSharesTest {
    private data class Case(val load: Double, val surging: Int?, val sigma: Double)

    private fun group(name: String, load: Double, priority: Int) =
        RequestKind(name, load, 90.milliseconds, 300.milliseconds, 800.milliseconds, priority, clump = CLUMP)

    /** Three groups of different priority that together occupy [Case.load] of the target; one may surge. */
    private fun threeGroups(case: Case): List<RequestKind> {
        val usual = if (case.surging == null) case.load / PRIORITIES else case.load / (PRIORITIES - 1 + SURGE)
        return List(PRIORITIES) { group("p$it", if (it == case.surging) usual * SURGE else usual, priority = it) }
    }

    private fun run(case: Case, length: Duration = 40.seconds) =
        GateSimulation(threeGroups(case), case.sigma, SEED).run(length)

    /** Returns the ratio of served to requested of the least served group, divided by the ratio over all. */
    private fun leastShare(results: Collection<KindResult>, requested: (KindResult) -> Int): Double {
        val served = results.sumOf { it.served * it.attempted }
        val overall = served / results.sumOf(requested)
        return results.minOf { it.served * it.attempted / requested(it) / overall }
    }

    private fun expectFloors(what: String, results: Collection<KindResult>) {
        val ofAttempts = leastShare(results) { it.requested }
        val ofFirstAttempts = leastShare(results) { it.attempted }
        println("$what seed=$SEED least_share=%.3f of_first_attempts=%.3f".format(ofAttempts, ofFirstAttempts))
        expectThat(ofAttempts).describedAs(what).isGreaterThanOrEqualTo(PROMISED_SHARE)
        expectThat(ofFirstAttempts).describedAs(what).isGreaterThanOrEqualTo(PROMISED_SHARE)
    }

    private fun valueOf(results: Collection<KindResult>): Double =
        results.sumOf { (it.onTime + it.late * LATE_VALUE) * it.attempted }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    inner class `Three priorities` {
        private val results = HashMap<Case, Collection<KindResult>>()

        private fun resultsOf(case: Case) = results.getOrPut(case) { run(case).values }

        private fun forEachKind(action: (surging: Int?, sigma: Double) -> Unit) =
            SURGES.forEach { surging -> RUN_TIME_SIGMAS.forEach { sigma -> action(surging, sigma) } }

        @Test
        fun `Given clumped arrivals, when the target is full, then each group gets a quarter of the ratio over all`() {
            forEachKind { surging, sigma ->
                for (load in LOADS) Case(load, surging, sigma).let { expectFloors("$it", resultsOf(it)) }
            }
        }

        @Test
        fun `Given twice and four times the capacity, when groups get their floors, then the value hardly falls`() {
            forEachKind { surging, sigma ->
                val atCapacity = valueOf(resultsOf(Case(1.0, surging, sigma)))
                for (load in listOf(2.0, 4.0)) {
                    val case = Case(load, surging, sigma)
                    val share = valueOf(resultsOf(case)) / atCapacity
                    println("$case seed=$SEED value_share=%.3f".format(share))
                    expectThat(share).describedAs("$case").isGreaterThanOrEqualTo(MIN_VALUE_SHARE)
                }
            }
        }

        @Test
        fun `Given a gate that restarts when full, when the counting window ends, then the floors hold again`() {
            for (surging in SURGES) {
                val case = Case(4.0, surging, sigma = 0.6)
                expectFloors("first window of $case", run(case, ShareFloors.WINDOW).values)
            }
        }
    }

    @Nested
    inner class `Many workspaces` {
        /** Workspaces of falling size that together fill the target, before [surging] sends ten times its usual. */
        private fun workspaces(surging: Int): List<RequestKind> {
            val sizes = List(WORKSPACES) { 1.0 / (it + LARGEST_WORKSPACES) }
            return sizes.mapIndexed { index, size ->
                val usual = size / sizes.sum()
                group("w$index", if (index == surging) usual * SURGE else usual, priority = index % PRIORITIES)
            }
        }

        @Test
        fun `Given 77 workspaces, when one sends ten times its usual, then each gets its floor`() {
            for (surging in listOf(0, 1, 2, SMALL_WORKSPACE)) {
                val results = GateSimulation(workspaces(surging), sigma = 0.6, SEED).run(180.seconds)
                expectFloors("77 workspaces, surge of w$surging", results.values)
            }
        }
    }

    @Nested
    inner class `Repeated attempts` {
        private val clock = ManualClock()
        private val gate = TargetGate(clock).apply {
            slots = 2
            coldFor(Duration.ZERO)
        }
        private val started = ArrayList<String>()

        private fun offer(group: String, waited: Duration = Duration.ZERO): GateRequest {
            val now = clock.now()
            val objective = 600.milliseconds
            val objectiveAt = now + objective - waited
            val request =
                GateRequest(RouteId("r"), 1, now + 3.seconds, objectiveAt, objective, { started += group }, {}, group)
            gate.offer(request)
            return request
        }

        /** Returns the order in which queued requests start at a gate where both groups run one request each. */
        private fun startOrder(repeats: Int): List<String> {
            val requests = ArrayList<GateRequest>()
            listOf("repeating", "first").forEach { requests += offer(it) }
            repeat(repeats) { requests += offer("repeating", waited = 100.milliseconds) }
            requests += offer("first")
            requests.indices.forEach { _ -> requests.forEach { gate.ended(it, completed = false) } }
            return started.drop(2)
        }

        @Test
        fun `Given a group that repeats beyond the usual, when another sends a first attempt, then that goes first`() {
            expectThat(startOrder(repeats = 2)).containsExactly("repeating", "first", "repeating")
        }

        @Test
        fun `Given a group that repeats once, when another sends a first attempt, then the order stays`() {
            expectThat(startOrder(repeats = 1)).containsExactly("repeating", "first")
        }
    }

    private companion object {
        const val SEED = 21L
        const val PRIORITIES = 3
        const val CLUMP = 4
        const val SURGE = 10
        const val WORKSPACES = 77

        /** Offset of the sizes 1/n: a workspace this far down the list is half as large as the first. */
        const val LARGEST_WORKSPACES = 4
        const val SMALL_WORKSPACE = 40
        const val PROMISED_SHARE = 0.25
        const val MIN_VALUE_SHARE = 0.95

        /** Value of a late response as a share of one on time, as in [TargetPicker]. */
        const val LATE_VALUE = 0.3
        val LOADS = listOf(0.8, 1.0, 1.5, 2.0, 4.0)
        val SURGES = listOf(null, 0, 1, 2)
        val RUN_TIME_SIGMAS = listOf(0.3, 0.6, 1.0)
    }
}
