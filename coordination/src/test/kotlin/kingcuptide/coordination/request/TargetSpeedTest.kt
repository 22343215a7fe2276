package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class TargetSpeedTest {
    private val speed = TargetSpeed()
    private val random = Random(1)
    private var now = 1_000.seconds

    /** Serves 50 requests a second for [length], of which [longShare] take ten times as long as the others. */
    private fun serve(length: Duration, factor: Double = 1.0, longShare: Double = 0.2) {
        val end = now + length
        while (now < end) {
            now += 20.milliseconds
            val isLong = random.nextDouble() < longShare
            val runTime = (if (isLong) 300.milliseconds else 30.milliseconds) * (0.5 + random.nextDouble()) * factor
            speed.record(if (isLong) LONG else SHORT, runTime, now)
        }
    }

    private fun shortMillis(): Double = speed.runTimes.getValue(routeKeyOf(SHORT)).inWholeMicroseconds / 1e3

    @Test
    fun `Given two routes, when run times are measured, then both are near their means`() {
        serve(20.seconds)
        expectThat(shortMillis()).isIn(26.0..34.0)
        expectThat(speed.runTimes.getValue(routeKeyOf(LONG))).isIn(260.milliseconds..340.milliseconds)
    }

    @Test
    fun `Given another mix of routes, when the target is as fast as before, then its run times stay`() {
        serve(20.seconds)
        serve(20.seconds, longShare = 0.8)
        expectThat(shortMillis()).isIn(25.0..35.0)
    }

    @Test
    fun `Given a slow period of 0,6 s, when it has passed, then it is not taken for a slow target`() {
        serve(20.seconds)
        serve(600.milliseconds, factor = 3.0)
        serve(1.seconds)
        expectThat(shortMillis()).isIn(25.0..36.0)
    }

    @Test
    fun `Given a target that becomes five times slower, when 1 s has passed, then it is reported`() {
        serve(20.seconds)
        serve(1.seconds, factor = 5.0)
        expectThat(shortMillis()).isGreaterThan(90.0)
    }

    @Test
    fun `Given run times that an entry gives back, when some are measured, then these take precedence`() {
        speed.told(mapOf(7 to 40.milliseconds))
        expectThat(speed.runTimes).isEqualTo(mapOf(7 to 40.milliseconds))
        serve(10.seconds)
        expectThat(speed.runTimes.keys).isEqualTo(setOf(routeKeyOf(SHORT), routeKeyOf(LONG)))
        speed.reset()
        expectThat(speed.runTimes).isEmpty()
    }

    @Test
    fun `Given run times out of range, when an entry gives them back, then they are ignored`() {
        speed.told(mapOf(7 to Duration.ZERO))
        speed.told(mapOf(7 to 2_000.seconds))
        speed.told((1..5).associateWith { 1.seconds })
        expectThat(speed.runTimes).isEmpty()
    }

    private companion object {
        val SHORT = RouteId("short")
        val LONG = RouteId("long")
    }
}
