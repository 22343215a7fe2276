package kingcuptide.bench.membership

import kingcuptide.coordination.process.HostEntry
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** What happens to a message between two hosts: it is delayed, and may be lost, repeated or overtaken. */
class Network(
    private val random: Random,
) {
    /** Returns whether messages from the first to the second host are cut off. */
    var cut: (HostEntry, HostEntry) -> Boolean = { _, _ -> false }

    /** Share of messages that are lost. */
    var lossShare = 0.0

    /** Share of messages that arrive twice. */
    var repeatShare = 0.0

    /** Greatest additional delay, by which messages overtake one another. */
    var extraDelay = Duration.ZERO

    /** Returns the delays after which a message arrives: none if it is lost, two if it is repeated. */
    fun delays(from: HostEntry, to: HostEntry): List<Duration> {
        if (cut(from, to) || random.nextDouble() < lossShare) return emptyList()
        val copies = if (random.nextDouble() < repeatShare) 2 else 1
        return List(copies) { delay(from, to) }
    }

    /** Ends all faults. */
    fun heal() {
        cut = { _, _ -> false }
        lossShare = 0.0
        repeatShare = 0.0
        extraDelay = Duration.ZERO
    }

    private fun delay(from: HostEntry, to: HostEntry): Duration {
        val base = when {
            from.region != to.region -> BETWEEN_REGIONS
            from.failureDomain != to.failureDomain -> BETWEEN_FAILURE_DOMAINS
            else -> WITHIN_FAILURE_DOMAIN
        }
        return base * (1 + random.nextDouble() * JITTER_SHARE) + extraDelay * random.nextDouble()
    }

    private companion object {
        val BETWEEN_REGIONS = 10.milliseconds
        val BETWEEN_FAILURE_DOMAINS = 1500.microseconds
        val WITHIN_FAILURE_DOMAIN = 500.microseconds
        const val JITTER_SHARE = 0.3
    }
}
