package kingcuptide.forwarder.request

import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.process.HeaderNames
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds

internal class TargetNoticesTest {
    private val clock = ManualClock()
    private val names =
        HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
    private val gate = TargetGate(clock)
    private val left = ArrayList<TargetInstance>()
    private val notices = TargetNotices(clock, names, gate) { left += it }

    /** A response to a request that was sent just now. */
    private fun responded(vararg rates: String) {
        clock.advance(10.milliseconds)
        notices.responded(INSTANCE, rates.map { "rate" to it }, clock.now())
    }

    private fun healthChecked(vararg rates: String) {
        clock.advance(10.milliseconds)
        notices.healthChecked(rates.map { "rate" to it }, clock.now())
    }

    @Nested
    inner class `Named rates` {
        @Test
        fun `Given responses with rates, when a later one names another, then the later holds`() {
            responded("12.9")
            responded("5.6")
            expectThat(gate.ratePerSecond).isEqualTo(5.6)
        }

        @Test
        fun `Given a rate, when a later request gets a response without one, then nothing is limited`() {
            responded("5.6")
            responded()
            expectThat(gate.ratePerSecond).isNull()
        }

        @Test
        fun `Given a rate, when an earlier request gets a response without one, then the rate holds`() {
            val sentAt = clock.now()
            responded("5.6")
            notices.responded(INSTANCE, emptyList(), sentAt)
            expectThat(gate.ratePerSecond).isEqualTo(5.6)
        }

        @Test
        fun `Given a target that names nearly nothing, when only its responses tell, then it gets a few requests`() {
            responded("0")
            expectThat(gate.ratePerSecond).isEqualTo(0.5)
        }

        @Test
        fun `Given another target at the address, when it is identified, then it starts without a rate`() {
            responded("5.6")
            notices.targetReplaced()
            expectThat(gate.ratePerSecond).isNull()
        }
    }

    /** Guards against a burst of requests from entries that know the rate at a gate that has just started. */
    @Nested
    inner class `Rates that entries know` {
        @Test
        fun `Given no response yet, when entries tell rates, then the least holds`() {
            listOf(5.6, 2.5, 12.9, Double.NaN).forEach(notices::rateTold)
            expectThat(gate.ratePerSecond).isEqualTo(2.5)
            notices.rateTold(0.0)
            expectThat(gate.ratePerSecond).isEqualTo(0.5)
        }

        @Test
        fun `Given a rate that entries told, when the target responds, then only its responses count`() {
            notices.rateTold(2.5)
            responded("5.6")
            notices.rateTold(2.5)
            expectThat(gate.ratePerSecond).isEqualTo(5.6)
        }

        @Test
        fun `Given a rate that ended unheard, when the first response names none, then nothing is limited`() {
            notices.rateTold(2.5)
            responded()
            notices.rateTold(2.5)
            expectThat(gate.ratePerSecond).isNull()
        }
    }

    @Nested
    inner class `Headers that cannot be read` {
        @Test
        fun `Given a rate, when a response names no decimal number, then the rate before holds`() {
            responded("5.6")
            for (text in listOf("", "-1", "NaN", "1e400", "many", "0x10", "1 2", "99999999999")) {
                responded(text)
                expectThat(gate.ratePerSecond).describedAs(text).isEqualTo(5.6)
            }
        }

        @Test
        fun `Given two rates in one response, when they differ, then the rate before holds`() {
            responded("5.6")
            responded("1", "2")
            expectThat(gate.ratePerSecond).isEqualTo(5.6)
            responded("3", "3")
            expectThat(gate.ratePerSecond).isEqualTo(3.0)
        }
    }

    @Nested
    inner class `A target that leaves` {
        @Test
        fun `Given a response that says so, when it arrives, then it is passed on`() {
            notices.responded(INSTANCE, listOf("leaving" to "1"), clock.now())
            expectThat(left).containsExactly(INSTANCE)
        }

        @Test
        fun `Given another value, when it arrives, then the target does not leave`() {
            for (value in listOf(
                "0",
                "",
                "true",
                "11",
            )) {
                notices.responded(INSTANCE, listOf("leaving" to value), clock.now())
            }
            expectThat(left).isEmpty()
        }
    }

    private companion object {
        val INSTANCE = TargetInstance(TargetId("t"), 1)
    }

    @Nested
    inner class `Health checks` {
        @Test
        fun `Given a rate named in responses, when health checks never name one, then it holds`() {
            responded("5.6")
            healthChecked()
            expectThat(gate.ratePerSecond).isEqualTo(5.6)
        }

        @Test
        fun `Given a rate named in health checks, when a later one names none, then nothing is limited`() {
            healthChecked("0")
            expectThat(gate.ratePerSecond).isEqualTo(0.0)
            healthChecked()
            expectThat(gate.ratePerSecond).isNull()
        }
    }
}
