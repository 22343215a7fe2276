package kingcuptide.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ShareFloorsTest {
    private val shares = ShareFloors()
    private var now: Duration = 100.seconds

    private fun request(group: String, isServed: Boolean): Double {
        val rounding = shares.recordRequest(group, now)
        if (isServed) shares.recordStart(group, isPreferred = false, now)
        return rounding
    }

    @Test
    fun `Given one group, when few of its requests are served, then it is never below its floor`() {
        repeat(100) { request("a", isServed = it % 10 == 0) }
        expectThat(shares.isBelowFloor("a", 0, 0.0, now)).isFalse()
    }

    @Test
    fun `Given a starved group, when it has been served its floor, then it is below the floor no longer`() {
        repeat(100) { request("a", isServed = it < 50) }
        repeat(100) { request("b", isServed = false) }
        val ratio = 50 / 200.0
        val floor = (ShareFloors.FLOOR_SHARE * ratio * 100).toInt()
        expectThat(shares.isBelowFloor("b", floor - 1, 0.0, now)).isTrue()
        expectThat(shares.isBelowFloor("b", floor + 1, 0.0, now)).isFalse()
        expectThat(shares.isBelowFloor("a", 0, 0.0, now)).isFalse()
    }

    /** A workspace that sends a request every few seconds would otherwise always go first, or never. */
    @Test
    fun `Given a group with one request in a window, when others are served half, then the floor's part goes first`() {
        val windows = 500
        val first = (1..windows).count {
            now += 6.seconds
            repeat(20) { request("a", isServed = it % 2 == 0) }
            val rounding = request("sparse", isServed = false)
            shares.isBelowFloor("sparse", 0, rounding, now)
        }
        val expected = ShareFloors.FLOOR_SHARE * 10 / 21 * windows
        expectThat(first.toDouble()).isIn(expected * 0.9..expected * 1.1)
    }

    @Test
    fun `Given counts, when the window has passed, then they are forgotten`() {
        request("a", isServed = true)
        now += 4.seconds
        expectThat(shares.countsOf("a", now)).isEqualTo(ShareCounts(requested = 1, served = 1))
        now += ShareFloors.WINDOW
        expectThat(shares.countsOf("a", now)).isEqualTo(ShareCounts(requested = 0, served = 0))
    }

    @Test
    fun `Given more groups than the bound, when another sends, then only the one idle for longest is forgotten`() {
        repeat(ShareFloors.MAX_GROUPS + 1) {
            request("g$it", isServed = false)
            now += 1.milliseconds
        }
        expectThat(shares.countsOf("g0", now).requested).isEqualTo(0)
        expectThat(shares.countsOf("g1", now).requested).isEqualTo(1)
    }
}
