package kingcuptide.forwarder.process

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.Distance
import kotlin.time.Duration.Companion.seconds

/**
 * Counts the traffic of this daemon. Ordinary successes have no log line of their own, only these totals.
 *
 * Used on the event loop; metrics read it from another thread and may see a count slightly late.
 */
class TrafficCounts(
    private val clock: Clock,
) {
    private val exchangeCounts = LongArray(Distance.entries.size)
    private val exchangeBytes = LongArray(Distance.entries.size)
    private val peerBytes = HashMap<String, LongArray>()
    private var answered = 0L
    private var failed = 0L
    private var lastLineAt = clock.now()

    /** Counts a request to a target at [distance] and its response, with [bytes] in both bodies together. */
    fun exchanged(distance: Distance, bytes: Int) {
        exchangeCounts[distance.ordinal]++
        exchangeBytes[distance.ordinal] += bytes.toLong()
    }

    /** Counts a response to a caller. */
    fun answered(status: Int) {
        if (status < FIRST_ERROR_STATUS) answered++ else failed++
    }

    /** Counts a message of [kind] with [bytes] written to a peer, of another region if [isOtherRegion]. */
    fun sentToPeer(kind: String, isOtherRegion: Boolean, bytes: Int) {
        peerBytes.getOrPut(kind) { LongArray(2) }[if (isOtherRegion) 1 else 0] += bytes.toLong()
    }

    /** Registers the counts in [metrics]. */
    fun registerIn(metrics: DaemonMetrics) {
        for (distance in Distance.entries) {
            val value = distance.name.lowercase()
            metrics.registerCounter("kingcuptide_exchanges", "distance", value) { exchangeCounts[distance.ordinal] }
            metrics.registerCounter("kingcuptide_exchanged_bytes", "distance", value) {
                exchangeBytes[distance.ordinal]
            }
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
        for (distance in Distance.entries) {
            val name = distance.name.lowercase()
            fields += "${name}_exchanges" to exchangeCounts[distance.ordinal]
            fields += "${name}_bytes" to exchangeBytes[distance.ordinal]
        }
        for ((kind, bytes) in peerBytes.toSortedMap()) {
            fields += "${kind}_near_bytes" to bytes[0]
            fields += "${kind}_far_bytes" to bytes[1]
        }
        log.info("traffic", *fields.toTypedArray())
    }

    private companion object {
        const val FIRST_ERROR_STATUS = 400

        /** Long enough to cost nothing, short enough to show a disturbance of one minute. */
        val LINE_INTERVAL = 10.seconds
        val log = eventLog("traffic")
    }
}
