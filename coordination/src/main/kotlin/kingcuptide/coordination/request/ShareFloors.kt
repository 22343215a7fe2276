package kingcuptide.coordination.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Requests of one share group, or of all, within the counting window of [ShareFloors]. */
public data class ShareCounts(
    val requested: Int,
    val served: Int,
)

/**
 * Tells which share groups a full gate serves too seldom.
 *
 * Each request belongs to one group; the forwarder groups by workspace, all requests without one together. The floor of
 * a group is [FLOOR_SHARE] of the ratio of served to requested over all groups. A request counts as served when it
 * starts, whatever its response, so that a group whose requests fail at the target gets no precedence for that. Not
 * thread-safe.
 */
public class ShareFloors {
    private val totals = WindowCounts()
    private val preferredStarts = WindowCounts()
    private val groups = LinkedHashMap<String, WindowCounts>()
    private var roundingPhase = 0.0

    /**
     * Records a request of [group]. Returns the fraction, from 0 to 1, by which [isBelowFloor] rounds for this request;
     * the fractions of successive requests are spread evenly.
     */
    public fun recordRequest(group: String, now: Duration): Double {
        val period = periodOf(now)
        totals.requested(period)
        val counts = groups.remove(group) ?: WindowCounts()
        groups[group] = counts
        counts.requested(period)
        forgetIdle(period)
        roundingPhase = (roundingPhase + GOLDEN_RATIO) % 1.0
        return roundingPhase
    }

    /**
     * Records that a request of [group] that was just recorded repeats an earlier attempt. Returns whether the group, one
     * of several, repeats more than [USUAL_REPEAT_SHARE] of its requests.
     */
    public fun recordRepeat(group: String, now: Duration): Boolean {
        val counts = groups[group] ?: return false
        val period = periodOf(now)
        val repeated = counts.repeated(period)
        val usual = maxOf(1.0, counts.at(period).requested * USUAL_REPEAT_SHARE)
        return groups.size > 1 && repeated > usual
    }

    /** Records that a request of [group] starts; [isPreferred] if it starts before others only because of its floor. */
    public fun recordStart(group: String, isPreferred: Boolean, now: Duration) {
        val period = periodOf(now)
        totals.served(period)
        if (isPreferred) preferredStarts.served(period)
        groups[group]?.served(period)
    }

    /**
     * Returns whether [group] remains below its floor after [queuedBefore] of its requests start. The floor of a group
     * with few requests is a fraction of one request; the request's [rounding] lets that fraction of them pass.
     */
    public fun isBelowFloor(group: String, queuedBefore: Int, rounding: Double, now: Duration): Boolean {
        if (groups.size < 2) return false
        val ofGroup = countsOf(group, now)
        val ofAll = totals.at(periodOf(now))
        if (ofAll.requested == 0) return false
        val floor = FLOOR_SHARE * ofGroup.requested * ofAll.served / ofAll.requested
        return ofGroup.served + queuedBefore + rounding < floor
    }

    /** Returns the share of recent starts, below 1, that went before others because of their floors. */
    public fun preferredShare(now: Duration): Double {
        val period = periodOf(now)
        val starts = totals.at(period).served
        return if (starts ==
            0
        ) {
            0.0
        } else {
            minOf(preferredStarts.at(period).served.toDouble() / starts, MAX_PREFERRED_SHARE)
        }
    }

    /** Returns the counts of [group]; zero if it has been idle for the whole window. */
    public fun countsOf(group: String, now: Duration): ShareCounts =
        groups[group]?.at(periodOf(now)) ?: ShareCounts(0, 0)

    /** Drops groups without a request in the window and, above [MAX_GROUPS], the one that was idle for longest. */
    private fun forgetIdle(period: Long) {
        val eldestFirst = groups.values.iterator()
        while (eldestFirst.hasNext()) {
            val isIdle = eldestFirst.next().at(period).requested == 0
            if (!isIdle && groups.size <= MAX_GROUPS) return
            eldestFirst.remove()
        }
    }

    private fun periodOf(now: Duration): Long = now.inWholeMilliseconds / PERIOD.inWholeMilliseconds

    /** Counts over the last [PERIODS] periods. */
    private class WindowCounts {
        private val requestedByPeriod = IntArray(PERIODS)
        private val servedByPeriod = IntArray(PERIODS)
        private val repeatedByPeriod = IntArray(PERIODS)
        private var requestedSum = 0
        private var servedSum = 0
        private var newest = 0L

        fun requested(period: Long) {
            moveTo(period)
            requestedByPeriod[indexOf(newest)]++
            requestedSum++
        }

        fun served(period: Long) {
            moveTo(period)
            servedByPeriod[indexOf(newest)]++
            servedSum++
        }

        /** Returns the repeats counted, this one included. */
        fun repeated(period: Long): Int {
            moveTo(period)
            repeatedByPeriod[indexOf(newest)]++
            return repeatedByPeriod.sum()
        }

        fun at(period: Long): ShareCounts {
            moveTo(period)
            return ShareCounts(requestedSum, servedSum)
        }

        private fun moveTo(period: Long) {
            if (period <= newest) return
            for (opened in maxOf(newest + 1, period - PERIODS + 1)..period) {
                val index = indexOf(opened)
                requestedSum -= requestedByPeriod[index]
                servedSum -= servedByPeriod[index]
                requestedByPeriod[index] = 0
                servedByPeriod[index] = 0
                repeatedByPeriod[index] = 0
            }
            newest = period
        }

        private fun indexOf(period: Long): Int = (period % PERIODS).toInt()
    }

    public companion object {
        /** Greatest number of groups that are counted. */
        public const val MAX_GROUPS: Int = 256

        /** Floor of a group as a share of the ratio over all; above the promised quarter, to allow for variation. */
        public const val FLOOR_SHARE: Double = 0.4

        /** Share of a group's requests that may be repeats before they go behind first attempts of others. */
        private const val USUAL_REPEAT_SHARE = 0.1

        /** Bound of [preferredShare], which serves as a divisor; floors together take at most [FLOOR_SHARE] for long. */
        private const val MAX_PREFERRED_SHARE = 0.5

        private val PERIOD = 500.milliseconds
        private const val PERIODS = 10

        /** Time over which requests are counted, the current period included. */
        public val WINDOW: Duration = PERIOD * PERIODS

        /** Multiples of this ratio modulo 1 are spread evenly, also over any regular part of the sequence. */
        private const val GOLDEN_RATIO = 0.618_033_988_749_895
    }
}
