package kingcuptide.coordination.request

import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.KnownTarget
import kingcuptide.coordination.version.TargetId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Run times of targets relative to the mean of their service, from the run times that their gates report.
 *
 * Each route that at least two targets report is compared by itself, so gates may see different mixes of routes. Not
 * thread-safe.
 */
internal class FleetSpeeds {
    private class Comparison(val at: Duration, val ratios: Map<TargetId, Double>)

    private val runTimes = HashMap<TargetId, RunTimes>()
    private val idsByService = HashMap<ServiceId, MutableSet<TargetId>>()
    private val lastRatios = HashMap<TargetId, Double>()
    private val comparisons = HashMap<ServiceId, Comparison>()

    /** Records the run times that the gate of [id] reports. */
    fun record(id: TargetId, reported: RunTimes) {
        if (reported.isNotEmpty() && areInRange(reported)) runTimes[id] = reported
    }

    /** Returns the run times that the gate of [id] reported last, or null. */
    fun runTimesOf(id: TargetId): RunTimes? = runTimes[id]

    /** Drops all targets except [ids]. */
    fun retain(ids: Set<TargetId>) {
        runTimes.keys.retainAll(ids)
        lastRatios.keys.retainAll(ids)
        idsByService.values.forEach { it.retainAll(ids) }
        idsByService.values.removeIf { it.isEmpty() }
        comparisons.clear()
    }

    /**
     * Returns run times relative to the mean of the service of [targets], by target; nothing for unknown ones. Targets
     * that only other requests may use, as they are outside of a home region, count towards the mean.
     */
    fun ratiosOf(targets: List<KnownTarget>, now: Duration): Map<TargetId, Double> {
        val service = targets.firstOrNull()?.entry?.service ?: return emptyMap()
        val known = comparisons[service]
        if (known != null && now - known.at < MAX_COMPARISON_AGE) return known.ratios
        val ids = idsByService.getOrPut(service) { LinkedHashSet() }
        targets.mapTo(ids) { it.entry.id }
        val ratios = compare(ids.filter { it in runTimes })
        comparisons[service] = Comparison(now, ratios)
        lastRatios += ratios
        return ratios
    }

    /** Returns the ratio of [id] that was computed last, or null if none is known. */
    fun lastRatioOf(id: TargetId): Double? = lastRatios[id]

    private fun compare(ids: List<TargetId>): Map<TargetId, Double> {
        val meansMs = ids.flatMap { runTimes.getValue(it).entries }
            .groupBy({ it.key }, { it.value.inWholeMicroseconds / 1e3 })
            .filterValues { it.size >= 2 }
            .mapValues { it.value.average() }
        return ids.mapNotNull { id -> ratioTo(meansMs, runTimes.getValue(id))?.let { id to it } }.toMap()
    }

    private fun ratioTo(meansMs: Map<Int, Double>, ofTarget: RunTimes): Double? {
        val logs = ofTarget.mapNotNull { (route, time) ->
            meansMs[route]?.let { ln(time.inWholeMicroseconds / 1e3 / it) }
        }
        return if (logs.isEmpty()) null else exp(logs.average()).coerceIn(MIN_RATIO, MAX_RATIO)
    }

    private companion object {
        /** Ratios are computed again at this interval and not for each request, to save processor time. */
        val MAX_COMPARISON_AGE = 200.milliseconds
        const val MIN_RATIO = 0.1
        const val MAX_RATIO = 20.0
    }
}
