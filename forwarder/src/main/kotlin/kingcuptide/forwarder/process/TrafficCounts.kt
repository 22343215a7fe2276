package kingcuptide.forwarder.process

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.Distance
import kotlin.time.Duration.Companion.seconds

/**
 * What goes through this daemon, counted: ordinary successes have no line of their own, only these sums.
 *
 * Used on the event loop; the metrics read it from elsewhere and may see a count a moment late.
 */
class TrafficCounts(
    private val clock: Clock,
) {
    private val sends = LongArray(Distance.entries.size)
    private val sendBytes = LongArray(Distance.entries.size)
    private val peerBytes = HashMap<String, LongArray>()
    private var answered = 0L
    private var failed = 0L
    private var lineAt = clock.now()

    /** A request went to a target and its answer came back, with [bytes] of bodies in all. */
    fun exchanged(distance: Distance, bytes: Int) {
        sends[distance.ordinal]++
        sendBytes[distance.ordinal] += bytes.toLong()
    }

    /** A caller got its answer. */
    fun answered(status: Int) {
        if (status < FIRST_FAILURE) answered++ else failed++
    }

    /** A message of [kind] with [bytes] was written to a peer, of another region if [isFar]. */
    fun toPeer(kind: String, isFar: Boolean, bytes: Int) {
        peerBytes.getOrPut(kind) { LongArray(2) }[if (isFar) 1 else 0] += bytes.toLong()
    }

    /** Shows the counts among [metrics]. */
    fun showIn(metrics: DaemonMetrics) {
        for (distance in Distance.entries) {
            val value = distance.name.lowercase()
            metrics.registerCounter("kingcuptide_exchanges", "distance", value) { sends[distance.ordinal] }
            metrics.registerCounter("kingcuptide_exchanged_bytes", "distance", value) { sendBytes[distance.ordinal] }
        }
    }

    /** Writes one line with all sums since the start, every [LINE_INTERVAL]. */
    fun tick() {
        val now = clock.now()
        if (now - lineAt < LINE_INTERVAL) return
        lineAt = now
        val fields = ArrayList<Pair<String, Any?>>()
        fields += "answered" to answered
        fields += "failed" to failed
        for (distance in Distance.entries) {
            val name = distance.name.lowercase()
            fields += "${name}_exchanges" to sends[distance.ordinal]
            fields += "${name}_bytes" to sendBytes[distance.ordinal]
        }
        for ((kind, bytes) in peerBytes.toSortedMap()) {
            fields += "${kind}_near_bytes" to bytes[0]
            fields += "${kind}_far_bytes" to bytes[1]
        }
        log.info("traffic", *fields.toTypedArray())
    }

    private companion object {
        const val FIRST_FAILURE = 400

        /** Seldom enough to cost nothing, often enough to see a minute's trouble in it. */
        val LINE_INTERVAL = 10.seconds
        val log = eventLog("traffic")
    }
}
