package kingcuptide.forwarder.process

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.request.Distance
import kingcuptide.coordination.request.PickReason
import kotlin.time.Duration.Companion.seconds

/**
 * Counts the traffic of this daemon. Ordinary successes have no log line of their own, only these totals.
 *
 * Used on the event loop; metrics read it from another thread and may see a count slightly late.
 */
class TrafficCounts(
    private val clock: Clock,
) {
    private val exchanges = List(Distance.entries.size) { List(PickReason.entries.size) { Total() } }
    private val refusals = List(Distance.entries.size) { Total() }
    private val bytesByRoute = LinkedHashMap<RouteId, LongArray>()
    private val peerBytes = HashMap<String, LongArray>()
    private var metrics: DaemonMetrics? = null
    private var answered = 0L
    private var failed = 0L
    private var lastLineAt = clock.now()

    /**
     * Counts a request of [route] to a target at [distance] and its response, with [bytes] in both bodies together;
     * [reason] says why the target was not nearer.
     */
    fun exchanged(route: RouteId, distance: Distance, reason: PickReason, bytes: Int) {
        exchanges[distance.ordinal][reason.ordinal].add(bytes)
        val known = if (route in bytesByRoute || bytesByRoute.size < MAX_ROUTES) route else OTHER_ROUTES
        bytesByRoute.getOrPut(known) { LongArray(Distance.entries.size) }[distance.ordinal] += bytes.toLong()
    }

    /** Counts a request with a body of [bytes] that a target at [distance] or its gate refused. */
    fun refused(distance: Distance, bytes: Int) = refusals[distance.ordinal].add(bytes)

    /** Counts a response to a caller. */
    fun answered(status: Int) {
        if (status < FIRST_ERROR_STATUS) answered++ else failed++
    }

    /** Counts a message of [kind], one of few, with [bytes] written to a peer at [distance]. */
    fun sentToPeer(kind: String, distance: Distance, bytes: Int) {
        val counts = peerBytes.getOrPut(kind) { LongArray(Distance.entries.size).also { registerPeerBytes(kind, it) } }
        counts[distance.ordinal] += bytes.toLong()
    }

    /** Registers the counts in [metrics]. */
    fun registerIn(metrics: DaemonMetrics) {
        this.metrics = metrics
        for (distance in Distance.entries) {
            val label = "distance" to labelOf(distance)
            val ofDistance = exchanges[distance.ordinal]
            for (reason in PickReason.entries) {
                val total = ofDistance[reason.ordinal]
                val labels = mapOf(label, "reason" to labelOf(reason))
                metrics.registerCounter("kingcuptide_exchanges", labels) { total.count }
                metrics.registerCounter("kingcuptide_exchanged_bytes", labels) { total.bytes }
            }
            metrics.registerCounter("kingcuptide_refused_request_bytes", mapOf(label)) {
                refusals[distance.ordinal].bytes
            }
        }
        peerBytes.forEach(::registerPeerBytes)
    }

    private fun registerPeerBytes(kind: String, counts: LongArray) {
        for (distance in Distance.entries) {
            val labels = mapOf("kind" to kind, "distance" to labelOf(distance))
            metrics?.registerCounter("kingcuptide_peer_bytes", labels) { counts[distance.ordinal] }
        }
    }

    /** Writes one log line with all totals since the start, every [LINE_INTERVAL]. */
    fun tick() {
        val now = clock.now()
        if (now - lastLineAt < LINE_INTERVAL) return
        lastLineAt = now
        val fields = ArrayList<Pair<String, Any?>>()
        fields += "answered" to answered
        fields += "failed" to failed
        Distance.entries.forEach { addExchanges(it, fields) }
        for ((kind, counts) in peerBytes.toSortedMap()) {
            for (distance in Distance.entries) {
                val bytes = counts[distance.ordinal]
                if (bytes > 0) fields += "${kind}_${labelOf(distance)}_bytes" to bytes
            }
        }
        val routes = largestOtherRegionRoutes()
        if (routes.isNotEmpty()) {
            fields += "other_region_routes" to routes.joinToString(",") { (route, bytes) -> "$route:$bytes" }
        }
        log.info("traffic", *fields.toTypedArray())
    }

    /** Returns the routes with bytes to other regions, the largest first. */
    internal fun largestOtherRegionRoutes(): List<Pair<RouteId, Long>> = bytesByRoute.entries
        .map { it.key to it.value[Distance.OTHER_REGION.ordinal] }
        .filter { it.second > 0 }
        .sortedByDescending { it.second }

    private fun addExchanges(distance: Distance, fields: MutableList<Pair<String, Any?>>) {
        val name = labelOf(distance)
        val totals = exchanges[distance.ordinal]
        fields += "${name}_exchanges" to totals.sumOf { it.count }
        fields += "${name}_bytes" to totals.sumOf { it.bytes }
        fields += "${name}_refusals" to refusals[distance.ordinal].count
        fields += "${name}_refused_bytes" to refusals[distance.ordinal].bytes
        for (reason in PickReason.entries) {
            val total = totals[reason.ordinal]
            if (total.count == 0L || reason == PickReason.NEAREST) continue
            fields += "${name}_${labelOf(reason)}_exchanges" to total.count
            fields += "${name}_${labelOf(reason)}_bytes" to total.bytes
        }
    }

    private class Total {
        var count = 0L
            private set
        var bytes = 0L
            private set

        fun add(bytes: Int) {
            count++
            this.bytes += bytes.toLong()
        }
    }

    private companion object {
        const val FIRST_ERROR_STATUS = 400

        /** Routes that are counted by themselves; further ones are counted together. */
        const val MAX_ROUTES = 16
        val OTHER_ROUTES = RouteId("other")

        /** Long enough to cost nothing, short enough to show a disturbance of one minute. */
        val LINE_INTERVAL = 10.seconds
        val log = eventLog("traffic")

        fun labelOf(value: Enum<*>): String = value.name.lowercase()
    }
}
