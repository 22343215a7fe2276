package kingcuptide.bench.fleet

import kingcuptide.coordination.process.HostEntry
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a link does to messages, besides its latency. Each value is a probability from 0 to 1. */
data class LinkFaults(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val reordering: Double = 0.0,
)

/** A link that carries nothing in the direction that [cuts] names. */
class LinkCut(
    val since: Duration,
    val cuts: (from: HostEntry, to: HostEntry) -> Boolean,
)

/** Latency, faults and cuts of all links. The links between regions carry [REGION_BITS_PER_SECOND] each way. */
class Links(
    private val clock: VirtualClock,
    private val random: Random,
) {
    /** What happens to messages on all links. */
    var faults: LinkFaults = LinkFaults()

    private val cuts = mutableListOf<LinkCut>()
    private val freeAt = HashMap<String, Duration>()

    /** Cuts all links that [cuts] names, until the cut is given to [mend]. */
    fun cut(cuts: (from: HostEntry, to: HostEntry) -> Boolean): LinkCut =
        LinkCut(clock.now(), cuts).also { this.cuts += it }

    /** Ends [cut]. */
    fun mend(cut: LinkCut) {
        cuts -= cut
    }

    /** Ends all cuts. */
    fun mendAll() = cuts.clear()

    /** Returns since when nothing comes from [from] to [to], or null if the link is whole. */
    fun cutSince(from: HostEntry, to: HostEntry): Duration? = cuts.filter { it.cuts(from, to) }.minOfOrNull { it.since }

    /** Returns the delays after which a message of [bytes] arrives: none if it is lost, two if it is duplicated. */
    fun delays(from: HostEntry, to: HostEntry, bytes: Int): List<Duration> {
        if (cuts.any { it.cuts(from, to) } || random.nextDouble() < faults.loss) return emptyList()
        val copies = if (random.nextDouble() < faults.duplication) 2 else 1
        return List(copies) { delay(from, to, bytes) }
    }

    private fun delay(from: HostEntry, to: HostEntry, bytes: Int): Duration {
        val base = if (from.region == to.region) INTRA_REGION else INTER_REGION
        val late = if (random.nextDouble() < faults.reordering) REORDERED_BY * random.nextDouble() else Duration.ZERO
        val queued = if (from.region == to.region) Duration.ZERO else transmit("${from.region}>${to.region}", bytes)
        return base * (1 + random.nextDouble() * JITTER) + late + queued
    }

    private fun transmit(link: String, bytes: Int): Duration {
        val end = maxOf(freeAt[link] ?: Duration.ZERO, clock.now()) + (bytes * BITS / REGION_BITS_PER_SECOND).seconds
        freeAt[link] = end
        return end - clock.now()
    }

    private companion object {
        val INTRA_REGION = 1.5.milliseconds
        val INTER_REGION = 10.milliseconds
        val REORDERED_BY = 300.milliseconds
        const val JITTER = 0.3
        const val BITS = 8.0
        const val REGION_BITS_PER_SECOND = 4e9
    }
}
