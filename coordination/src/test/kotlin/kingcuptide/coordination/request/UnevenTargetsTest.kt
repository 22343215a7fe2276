package kingcuptide.coordination.request

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

/** Compares the choice by reported run times with that without them on the same arrivals; prints both. */
internal class UnevenTargetsTest {
    private class Compared(val before: UnevenResult, val now: UnevenResult)

    private fun compare(name: String, load: UnevenLoad, seed: Long = 1): Compared {
        val without = UnevenTargetSimulation(load, seed, reportsRunTimes = false).run()
        val simulation = UnevenTargetSimulation(load, seed, reportsRunTimes = true)
        val with = simulation.run()
        val (wait, time) = simulation.globalQueue()
        println("$name, seed $seed: without run times $without")
        println("$name, seed $seed: with run times    $with; one queue: wait $wait, time $time")
        return Compared(without, with)
    }

    @Nested
    inner class `High load in waves` {
        @Test
        fun `Given uneven targets and reports 1 to 3 s old, when run times are reported, then loads are even`() {
            val results = compare("uneven 0.85", UnevenLoad(length = 60.seconds))
            expectThat(results.now.maxToMean).isLessThanOrEqualTo(1.3)
            expectThat(results.now.worstWindowLoad).isLessThan(results.before.worstWindowLoad)
            expectThat(results.now.meanTime).isLessThan(results.before.meanTime * 0.7)
            expectThat(results.now.lost).isLessThan(results.before.lost / 10)
        }

        @Test
        fun `Given equal targets, when run times are reported, then no figure is worse`() {
            val results = compare("equal 0.85", UnevenLoad(length = 60.seconds, speeds = listOf(1.0)))
            expectThat(results.now.worstWindowLoad).isLessThan(results.before.worstWindowLoad)
            expectThat(results.now.meanTime).isLessThan(results.before.meanTime)
            expectThat(results.now.lost).isLessThanOrEqualTo(results.before.lost)
        }
    }

    @Nested
    inner class `Low load` {
        @Test
        fun `Given low load, when run times are reported, then no more requests leave the region`() {
            for (speeds in listOf(UnevenLoad.UNEVEN_SPEEDS, listOf(1.0))) {
                val load = UnevenLoad(load = 0.3, speeds = speeds, length = 60.seconds)
                val results = compare("low 0.3, ${speeds.size} speeds", load)
                expectThat(results.now.otherRegionShare).isLessThanOrEqualTo(results.before.otherRegionShare)
                expectThat(results.now.meanTime).isLessThanOrEqualTo(results.before.meanTime)
                expectThat(results.now.lost).isEqualTo(0)
            }
        }
    }

    @Nested
    inner class `Slow targets` {
        @Test
        fun `Given a target that becomes five times slower, when 1 s has passed, then it gets under half its share`() {
            val load = UnevenLoad(
                load = 0.6,
                slowPeriods = false,
                responseReports = true,
                slowedTarget = 3,
                slowedAt = 30.seconds,
                length = 40.seconds,
            )
            val result = UnevenTargetSimulation(load, 1, reportsRunTimes = true).run()
            val before = result.sentShares(3, 22, 30).average()
            val after = result.sentShares(3, 31, 36).average()
            println("slowed target: share $before before, ${result.sentShares(3, 30, 36)} after")
            expectThat(after).isLessThan(before / 2)
        }

        @Test
        fun `Given a slow period of 0,6 s, when it has passed, then the target gets nearly its usual share`() {
            val load = UnevenLoad(
                load = 0.6,
                slowPeriods = false,
                responseReports = true,
                slowedTarget = 3,
                slowedAt = 30.seconds,
                slowedUntil = 30.seconds + UnevenTargetSimulation.SLOW_PERIOD,
                length = 40.seconds,
            )
            val result = UnevenTargetSimulation(load, 1, reportsRunTimes = true).run()
            val before = result.sentShares(3, 22, 30).average()
            val after = result.sentShares(3, 32, 38).average()
            println("slow period: share $before before, ${result.sentShares(3, 30, 38)} after")
            expectThat(before * 0.7).isLessThan(after)
        }
    }
}
