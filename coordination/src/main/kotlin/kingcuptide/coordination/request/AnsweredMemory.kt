package kingcuptide.coordination.request

import kotlin.time.Duration

/** Fingerprints answered a short while ago, at most [MAX_FINGERPRINTS]. Not thread-safe. */
internal class AnsweredMemory(
    private val memory: Duration,
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
        answeredAt[fingerprint]?.let { now - it <= memory } ?: false

    fun forgetOld(now: Duration) {
        val oldest = answeredAt.entries.iterator()
        while (oldest.hasNext() && now - oldest.next().value > memory) oldest.remove()
    }

    private companion object {
        const val MAX_FINGERPRINTS = 2_048
    }
}
