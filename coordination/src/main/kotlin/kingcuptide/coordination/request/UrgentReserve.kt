package kingcuptide.coordination.request

import kotlin.math.exp
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Determines how many slots of a target stay free of long requests, so that more urgent ones need not wait until one of
 * these ends (trunk reservation). Strict priority alone does not help them: it decides who starts next, and while long
 * requests hold all slots nobody does. Not thread-safe.
 */
internal class UrgentReserve {
    /** The slots that requests of one priority occupy, as a decaying average, and their objective. */
    private class Load(private var at: Duration) {
        private var slots = 0.0
        private var objective = Duration.ZERO

        fun record(runTime: Duration, objective: Duration, now: Duration) {
            slots = slotsAt(now) + runTime / AVERAGING_TIME
            at = now
            this.objective = objective
        }

        fun slotsAt(now: Duration): Double = slots * exp(-((now - at) / AVERAGING_TIME))

        /** Returns whether requests of this load may wait until one of [slots] is free if all run for [runTime]. */
        fun canWaitFor(runTime: Duration, slots: Int): Boolean = runTime / slots <= objective * MAX_WAIT_SHARE
    }

    private val loads = LinkedHashMap<Int, Load>()

    /** Records a request of [priority] that is expected to run for [runTime] and has [objective]. */
    fun record(priority: Int, runTime: Duration, objective: Duration, now: Duration) {
        val load = loads.remove(priority) ?: Load(now)
        load.record(runTime, objective, now)
        loads[priority] = load
        if (loads.size > MAX_PRIORITIES) loads.remove(loads.keys.first())
    }

    /**
     * Returns the number of [slots] that requests of [priority], which run for [runTime], leave to more urgent ones: as
     * many as these occupy on average, and the square root of it for the usual variation.
     */
    fun slotsFor(priority: Int, runTime: Duration, slots: Int, now: Duration): Int {
        var urgent = 0.0
        for ((other, load) in loads) {
            if (other < priority && !load.canWaitFor(runTime, slots)) urgent += load.slotsAt(now)
        }
        if (urgent < MIN_LOAD) return 0
        return (urgent + sqrt(urgent)).toInt().coerceIn(1, maxOf(1, slots / 2))
    }

    private companion object {
        val AVERAGING_TIME = 5.seconds

        /** Share of its objective that an urgent request may wait for a slot. */
        const val MAX_WAIT_SHARE = 0.2

        /** Load in slots below which urgent requests are too rare for a slot to be kept free. */
        const val MIN_LOAD = 0.1
        const val MAX_PRIORITIES = 16
    }
}
