package kingcuptide.bench.membership

import kingcuptide.coordination.process.HostEntry
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Simulated network: delays each message between two hosts, and may lose, duplicate or reorder it. */
class Network(
    private val random: Random,
) {
    /** Returns whether messages from the first to the second host are dropped. */
    var cut: (HostEntry, HostEntry) -> Boolean = { _, _ -> false }

    /** Share of messages that are lost. */
    var lossShare = 0.0

    /** Share of messages that are delivered twice. */
    var duplicateShare = 0.0

    /** Greatest additional random delay, which reorders messages. */
    var maxExtraDelay = Duration.ZERO

    /** Returns the delay of each delivered copy of a message: none if it is lost, two if it is duplicated. */
    fun delays(from: HostEntry, to: HostEntry): List<Duration> {
        if (cut(from, to) || random.nextDouble() < lossShare) return emptyList()
        val copies = if (random.nextDouble() < duplicateShare) 2 else 1
        return List(copies) { delay(from, to) }
    }

    /** Clears all faults. */
    fun heal() {
        cut = { _, _ -> false }
        lossShare = 0.0
        duplicateShare = 0.0
        maxExtraDelay = Duration.ZERO
    }

    private fun delay(from: HostEntry, to: HostEntry): Duration {
        val base = when {
            from.region != to.region -> LATENCY_BETWEEN_REGIONS
            from.failureDomain != to.failureDomain -> LATENCY_BETWEEN_FAILURE_DOMAINS
            else -> LATENCY_WITHIN_FAILURE_DOMAIN
        }
        return base * (1 + random.nextDouble() * JITTER_SHARE) + maxExtraDelay * random.nextDouble()
    }

    private companion object {
        val LATENCY_BETWEEN_REGIONS = 10.milliseconds
        val LATENCY_BETWEEN_FAILURE_DOMAINS = 1500.microseconds
        val LATENCY_WITHIN_FAILURE_DOMAIN = 500.microseconds
        const val JITTER_SHARE = 0.3
    }
}
