package kingcuptide.coordination.request.quota

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The requests of a run by workspace, to check rule QUOTA and the share of the allowed requests that were passed on. */
internal class QuotaHistory(
    private val begin: Duration,
    private val firstLimits: Map<Int, QuotaLimit>,
) {
    private val requested = HashMap<Int, ArrayList<Duration>>()
    private val withdrawn = HashMap<Int, HashSet<Duration>>()
    private val passed = HashMap<Int, ArrayList<Passed>>()
    private var laterLimits: Map<Int, QuotaLimit> = firstLimits
    private var changedAt = Duration.INFINITE

    /** When all hosts had been in contact for 3 s since the change. */
    private var boundAt = Duration.INFINITE

    fun limitsChanged(at: Duration, limits: Map<Int, QuotaLimit>) {
        changedAt = at
        laterLimits = limits
    }

    fun inContact(since: Duration, now: Duration) {
        if (boundAt == Duration.INFINITE && now - maxOf(since, changedAt) >= 3.seconds) boundAt = now
    }

    fun requested(key: Int, at: Duration) {
        requested.getOrPut(key) { ArrayList() } += at
    }

    /** A request of [at] got a token but did not run for another reason. */
    fun withdrawn(key: Int, at: Duration) {
        withdrawn.getOrPut(key) { HashSet() } += at
    }

    fun passed(key: Int, requestedAt: Duration, at: Duration) {
        passed.getOrPut(key) { ArrayList() } += Passed(requestedAt, at)
    }

    /** Returns the windows in which more requests were passed on than rule QUOTA allows. */
    fun excesses(): List<String> = passed.flatMap { (key, list) -> excessesOf(key, list.map { it.at }) }

    private fun excessesOf(key: Int, times: List<Duration>): List<String> {
        val found = ArrayList<String>()
        var first = 0
        for (last in times.indices) {
            while (times[last] - times[first] >= WINDOW) first++
            val count = last - first + 1
            val bound = boundIn(key, times[last])
            if (count > bound) found += "workspace $key: $count in $WINDOW to ${times[last] - begin}, allowed $bound"
        }
        return found
    }

    private fun boundIn(key: Int, end: Duration): Double {
        val before = firstLimits.getValue(key)
        val after = laterLimits.getValue(key)
        val rate: Double
        val burst: Double
        when {
            end < changedAt -> before.let {
                rate = it.ratePerSecond
                burst = it.burst
            }
            end - WINDOW >= boundAt -> after.let {
                rate = it.ratePerSecond
                burst = it.burst
            }
            else -> {
                rate = maxOf(before.ratePerSecond, after.ratePerSecond)
                burst = maxOf(before.burst, after.burst)
            }
        }
        return (rate * WINDOW.toDouble(DurationUnit.SECONDS) + burst) * 1.25 + 20
    }

    /**
     * Returns the share of the requests between [from] and [until] after the begin that were passed on, of those that one
     * bucket of each workspace would have passed on that sees all requests at once.
     */
    fun share(from: Duration, until: Duration): Double {
        val range = (begin + from)..(begin + until)
        var allowed = 0
        var served = 0
        for ((key, times) in requested) {
            val ideal = idealPassed(key, times).count { it in range }
            allowed += ideal
            served += minOf(ideal, passed[key].orEmpty().count { it.requestedAt in range })
        }
        return if (allowed == 0) 1.0 else served.toDouble() / allowed
    }

    private fun idealPassed(key: Int, times: List<Duration>): List<Duration> {
        val without = withdrawn[key].orEmpty()
        var tokens = 0.0
        var at = begin
        return times.filter { time ->
            val limit = (if (time < changedAt) firstLimits else laterLimits).getValue(key)
            val filled = (time - at).toDouble(DurationUnit.SECONDS) * limit.ratePerSecond
            tokens = (tokens + filled).coerceAtMost(maxOf(1.0, limit.burst))
            at = time
            val isAllowed = time !in without && tokens >= 1
            if (isAllowed) tokens--
            isAllowed
        }
    }

    private class Passed(
        val requestedAt: Duration,
        val at: Duration,
    )

    private companion object {
        val WINDOW = 5.seconds
    }
}
