package kingcuptide.coordination.request

import kotlin.time.Duration

/** Fingerprints that got a response within the last [retention], at most [MAX_FINGERPRINTS]. Not thread-safe. */
internal class RecentResponses(
    private val retention: Duration,
) {
    private val answeredAt = LinkedHashMap<Fingerprint, Duration>()

    fun add(fingerprint: Fingerprint, now: Duration) {
        answeredAt.remove(fingerprint)
        answeredAt[fingerprint] = now
        if (answeredAt.size > MAX_FINGERPRINTS) answeredAt.remove(answeredAt.keys.first())
    }

    fun remove(fingerprint: Fingerprint) {
        answeredAt.remove(fingerprint)
    }

    fun contains(fingerprint: Fingerprint, now: Duration): Boolean =
        answeredAt[fingerprint]?.let { now - it <= retention } ?: false

    fun removeExpired(now: Duration) {
        val oldestFirst = answeredAt.entries.iterator()
        while (oldestFirst.hasNext() && now - oldestFirst.next().value > retention) oldestFirst.remove()
    }

    private companion object {
        const val MAX_FINGERPRINTS = 2_048
    }
}
