package kingcuptide.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.time.Duration.Companion.seconds

/**
 * Popular pages and random crashes. Guards against pages that are refused since they are in flight at each crash, and
 * against a page that crashes targets and is passed on since it is popular.
 */
internal class CrashQuarantineModelTest {
    /** The same share of proper requests as the users allow to be denied. */
    private fun allowedRefusals(sent: Int) = 5 + sent / 500

    @Test
    fun `Given random crashes, when pages are popular, then no more than the allowed share is refused`() {
        val plays = SEEDS.associateWith { CrashQuarantineModel(it).run(DURATION) }
        println("refused of sent: ${plays.values.map { "${it.refused}/${it.sent}" }}")
        expectThat(plays.filterValues { it.refused > allowedRefusals(it.sent) }.keys).isEmpty()
    }

    @Test
    fun `Given random crashes, when survived runs are not reported, then far more is refused`() {
        val plays = SEEDS.map { CrashQuarantineModel(it, clears = false).run(DURATION) }
        println("refused of sent without survived runs: ${plays.map { "${it.refused}/${it.sent}" }}")
        expectThat(plays.sumOf { it.refused }).isGreaterThan(plays.sumOf { allowedRefusals(it.sent) })
    }

    @Test
    fun `Given a rare page that crashes targets, when it is sent again and again, then it is refused`() {
        val plays = SEEDS.associateWith { CrashQuarantineModel(it, harmfulPage = RARE_PAGE).run(DURATION) }
        println("crashes by a rare page: ${plays.values.map(::seriesOf)}")
        expectThat(plays.filterValues { play -> seriesOf(play).any(::isTooLong) }.keys).isEmpty()
    }

    @Test
    fun `Given the most popular page, when it begins to crash targets, then it is refused`() {
        val plays = SEEDS.associateWith {
            CrashQuarantineModel(it, harmfulPage = 0, harmfulFrom = HARMFUL_FROM).run(HARMFUL_FROM + QUARANTINE_TIME)
        }
        println("crashes by a popular page: ${plays.values.map(::seriesOf)}")
        expectThat(plays.filterValues { play -> seriesOf(play).any(::isTooLong) }.keys).isEmpty()
    }

    /** Returns the times of the harmful crashes in seconds, in groups between which the page was quarantined. */
    private fun seriesOf(play: CrashQuarantineModel): List<List<Double>> {
        val series = ArrayList<ArrayList<Double>>()
        for (at in play.harmfulCrashes.map { it.inWholeMilliseconds / 1_000.0 }) {
            if (series.isEmpty() || at > series.last().last() + SUSPECT_SECONDS) series += ArrayList<Double>()
            series.last() += at
        }
        return series
    }

    /** The rules allow a few retries of such a request later than a stable window after its third crash. */
    private fun isTooLong(series: List<Double>): Boolean =
        series.size > 2 && series.count { it > series[2] + STABLE_WINDOW_SECONDS } > MAX_LATE_RETRIES

    private companion object {
        val SEEDS = 1..20
        val DURATION = 300.seconds
        val HARMFUL_FROM = 30.seconds
        val QUARANTINE_TIME = 60.seconds
        const val SUSPECT_SECONDS = 30.0
        const val RARE_PAGE = 150
        const val STABLE_WINDOW_SECONDS = 3.0
        const val MAX_LATE_RETRIES = 3
    }
}
