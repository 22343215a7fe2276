package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Counts the hosts among which quotas are divided: those that are published, and those that were until lately.
 *
 * A host that vanishes may be cut off and go on spending its part, so its part is not given to the others for [MEMORY],
 * unless it had said that it leaves. Not thread-safe.
 */
public class QuotaHosts(
    private val clock: Clock,
) {
    private val seenByAddress = LinkedHashMap<String, Seen>()

    /** Records the [published] hosts by address, with whether all targets of a host leave; returns the count. */
    public fun update(published: Map<String, Boolean>): Int {
        val now = clock.now()
        published.forEach { (address, isLeaving) -> seenByAddress[address] = Seen(now, isLeaving) }
        seenByAddress.entries.removeIf { (address, seen) ->
            address !in published && (seen.isLeaving || now - seen.at > MEMORY || seenByAddress.size > MAX_HOSTS)
        }
        return seenByAddress.size
    }

    private class Seen(
        val at: Duration,
        val isLeaving: Boolean,
    )

    private companion object {
        val MEMORY = 5.minutes

        /** Hosts beyond which those that are not published any more are forgotten at once. */
        const val MAX_HOSTS = 4_096
    }
}
