package kingcuptide.coordination.request

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Long requests of low priority hold all slots of a full target, and short urgent ones wait until one of them ends. */
internal class GateUrgentReserveTest {
    private val call = RequestKind("call", 0.1, 55.milliseconds, 200.milliseconds, 600.milliseconds, -1, retries = 0)
    private val job = RequestKind("job", 0.12, 150.milliseconds, 500.milliseconds, 3.seconds, 0, retries = 2)
    private val query = RequestKind("query", 0.8, 880.milliseconds, 2_500.milliseconds, 15.seconds, 2, retries = 2)

    private fun onTime(kind: RequestKind, load: Double): Double {
        val kinds = listOf(call, job, query).map { it.copy(load = it.load * load) }
        return (1L..5L).map { GateSimulation(kinds, SIGMA, it).run(30.seconds).getValue(kind.name).onTime }.average()
    }

    @Test
    fun `Given a full target, when urgent requests are short, then most of them are on time`() {
        expectThat(onTime(call, load = 1.0)).isGreaterThan(0.8)
        expectThat(onTime(job, load = 1.0)).isGreaterThan(0.9)
    }

    @Test
    fun `Given room for all, when slots are kept free for urgent requests, then long ones are on time as well`() {
        expectThat(onTime(query, load = 0.7)).isGreaterThan(0.95)
    }

    @Test
    fun `Given urgent requests that can wait for a slot, when others run, then no slot is kept free`() {
        val reserve = UrgentReserve()
        repeat(100) { reserve.record(0, 100.milliseconds, 1.seconds, Duration.ZERO) }
        expectThat(reserve.slotsFor(1, runTime = 500.milliseconds, slots = 6, Duration.ZERO)).isEqualTo(0)
        expectThat(reserve.slotsFor(1, runTime = 3.seconds, slots = 6, Duration.ZERO)).isEqualTo(3)
        expectThat(reserve.slotsFor(0, runTime = 3.seconds, slots = 6, Duration.ZERO)).isEqualTo(0)
        expectThat(reserve.slotsFor(1, runTime = 3.seconds, slots = 6, 60.seconds)).isEqualTo(0)
    }

    private companion object {
        const val SIGMA = 0.6
    }
}
