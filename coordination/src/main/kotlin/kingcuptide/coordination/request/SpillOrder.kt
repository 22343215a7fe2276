package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Determines which requests go to a farther failure domain where some must: those first that move the most work for
 * their bytes, so that the same load is moved with the least traffic. They also run longest, so that the longer way
 * matters least to them. Not thread-safe.
 */
internal class SpillOrder {
    /** Work and bytes of the requests of a route, as decaying sums. */
    private class Flow(private var at: Duration) {
        var work = 0.0
            private set
        private var bytes = 0.0

        /** A request without work moves nothing. */
        val bytesPerWork: Double get() = if (work > 0) bytes / work else Double.POSITIVE_INFINITY

        fun record(work: Duration, bytes: Double, now: Duration) {
            decay(now)
            this.work += work / 1.seconds
            this.bytes += bytes
        }

        fun decay(now: Duration) {
            val factor = exp(-((now - at) / AVERAGING_TIME))
            work *= factor
            bytes *= factor
            at = now
        }
    }

    /** Routes of a service in the order in which they leave, each with the part of all work that leaves before it. */
    private class Ranking(val at: Duration, val ranges: Map<RouteId, ClosedFloatingPointRange<Double>>)

    private val flows = LinkedHashMap<ServiceId, LinkedHashMap<RouteId, Flow>>()
    private val rankings = HashMap<ServiceId, Ranking>()

    /** Records a request of [route] that occupies a slot of a mean target for [work] and takes [bytes] on the way. */
    fun record(service: ServiceId, route: RouteId, work: Duration, bytes: Double, now: Duration) {
        val ofService = flows.getOrPut(service) { LinkedHashMap() }
        val flow = ofService.remove(route) ?: Flow(now)
        flow.record(work, bytes, now)
        ofService[route] = flow
        if (ofService.size > MAX_ROUTES) ofService.remove(ofService.keys.first())
        if (flows.size > MAX_SERVICES) flows.remove(flows.keys.first())
    }

    /** Returns the share of the requests of [route] that leave if the share [planned] of all work for [service] leaves. */
    fun shareOf(service: ServiceId, route: RouteId, planned: Double, now: Duration): Double {
        val range = rankingOf(service, now).ranges[route] ?: return planned
        val work = range.endInclusive - range.start
        return if (work > 0) ((planned - range.start) / work).coerceIn(0.0, 1.0) else planned
    }

    private fun rankingOf(service: ServiceId, now: Duration): Ranking {
        rankings[service]?.takeIf { now - it.at < MAX_RANKING_AGE }?.let { return it }
        val ofService = flows[service].orEmpty()
        ofService.values.forEach { it.decay(now) }
        val total = ofService.values.sumOf { it.work }
        val ranges = HashMap<RouteId, ClosedFloatingPointRange<Double>>()
        var before = 0.0
        if (total > 0) {
            for ((route, flow) in ofService.entries.sortedBy { it.value.bytesPerWork }) {
                val until = before + flow.work / total
                ranges[route] = before..until
                before = until
            }
        }
        if (rankings.size > MAX_SERVICES) rankings.clear()
        return Ranking(now, ranges).also { rankings[service] = it }
    }

    private companion object {
        /** Long enough to see all usual routes, short enough to follow a change of the mix within seconds. */
        val AVERAGING_TIME = 5.seconds

        /** The order is computed again at this interval and not for each request, to save processor time. */
        val MAX_RANKING_AGE = 200.milliseconds
        const val MAX_ROUTES = 64
        const val MAX_SERVICES = 16
    }
}
