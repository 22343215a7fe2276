package kingcuptide.bench.fleet

import kingcuptide.coordination.process.HostEntry
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults that a link injects into each message; each value is a probability from 0 to 1. */
data class LinkFaults(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val reordering: Double = 0.0,
)

/** A cut, since [since], of all links from one host to another for which [matches] is true. */
class LinkCut(
    val since: Duration,
    val matches: (from: HostEntry, to: HostEntry) -> Boolean,
)

/** Latency, faults and cuts of all links. The link between two regions carries [REGION_BITS_PER_SECOND] each way. */
class Links(
    private val clock: VirtualClock,
    private val random: Random,
) {
    /** Faults injected on all links. */
    var faults: LinkFaults = LinkFaults()

    private val cuts = mutableListOf<LinkCut>()
    private val idleAt = HashMap<String, Duration>()

    /** Cuts all links for which [matches] is true, until [restore] is called with the returned cut. */
    fun cut(matches: (from: HostEntry, to: HostEntry) -> Boolean): LinkCut =
        LinkCut(clock.now(), matches).also { cuts += it }

    /** Ends [cut]. */
    fun restore(cut: LinkCut) {
        cuts -= cut
    }

    /** Ends all cuts. */
    fun restoreAll() = cuts.clear()

    /** Returns the start of the earliest cut of the link from [from] to [to], or null if it isn't cut. */
    fun cutSince(from: HostEntry, to: HostEntry): Duration? =
        cuts.filter { it.matches(from, to) }.minOfOrNull { it.since }

    /** Returns the delay of each delivery of a message of [bytes]: none if it is lost, two if it is duplicated. */
    fun delays(from: HostEntry, to: HostEntry, bytes: Int): List<Duration> {
        if (cuts.any { it.matches(from, to) } || random.nextDouble() < faults.loss) return emptyList()
        val copies = if (random.nextDouble() < faults.duplication) 2 else 1
        return List(copies) { delay(from, to, bytes) }
    }

    private fun delay(from: HostEntry, to: HostEntry, bytes: Int): Duration {
        val latency = if (from.region == to.region) INTRA_REGION_LATENCY else INTER_REGION_LATENCY
        val reorderingDelay =
            if (random.nextDouble() < faults.reordering) MAX_REORDERING_DELAY * random.nextDouble() else Duration.ZERO
        val transmissionDelay =
            if (from.region == to.region) Duration.ZERO else transmit("${from.region}>${to.region}", bytes)
        return latency * (1 + random.nextDouble() * JITTER_FRACTION) + reorderingDelay + transmissionDelay
    }

    private fun transmit(link: String, bytes: Int): Duration {
        val sentAt = maxOf(idleAt[link] ?: Duration.ZERO, clock.now()) + (bytes * BITS / REGION_BITS_PER_SECOND).seconds
        idleAt[link] = sentAt
        return sentAt - clock.now()
    }

    private companion object {
        val INTRA_REGION_LATENCY = 1.5.milliseconds
        val INTER_REGION_LATENCY = 10.milliseconds
        val MAX_REORDERING_DELAY = 300.milliseconds
        const val JITTER_FRACTION = 0.3
        const val BITS = 8.0
        const val REGION_BITS_PER_SECOND = 4e9
    }
}
