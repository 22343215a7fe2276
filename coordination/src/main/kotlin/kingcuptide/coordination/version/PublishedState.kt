package kingcuptide.coordination.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a daemon believes of routes, targets and failure domains taken out.
 *
 * The configuration never falls to a lower number. A target that vanished right after the source was away stays for
 * [LAPSE_GRACE], since its entry may have lapsed while it could not report. Used from one thread.
 */
public class PublishedState(
    private val clock: Clock,
    private val decoder: PublishedItemDecoder,
    private val observer: Observer = Observer.NONE,
) {
    private val targetsByKey = HashMap<String, KnownTarget>()
    private val takenOutByKey = HashMap<String, FailureDomainId>()
    private val lapsing = HashMap<String, Duration>()
    private var contactAt: Duration? = null
    private var outageEndedAt: Duration? = null
    private var byService: Map<ServiceId, List<KnownTarget>>? = null

    /** The configuration in force, or null while none is known. */
    public var routing: RoutingVersion? = null
        private set

    /** Failure domains that get no new requests. */
    public var takenOut: Set<FailureDomainId> = emptySet()
        private set

    /** All targets that are believed to be there. */
    public val targets: Collection<KnownTarget> get() = targetsByKey.values

    /** Age of what is known: time since the source, or a peer that reads it, last confirmed it. */
    public fun age(): Duration = contactAt?.let { clock.now() - it } ?: Duration.INFINITE

    /** Notes that everything held was current [ago]. */
    public fun confirmed(ago: Duration) {
        val at = clock.now() - ago
        val before = contactAt
        if (before != null && at <= before) return
        if (before != null && at - before > OUTAGE_GAP) outageEndedAt = clock.now()
        contactAt = at
    }

    /** Takes in changed items of the source; returns those that changed what is believed. */
    public fun apply(changes: List<SourceItem>): List<SourceItem> {
        if (changes.isEmpty()) return emptyList()
        val news = changes.filter { isNews(it) }
        byService = null
        takenOut = takenOutByKey.values.toSet()
        return news
    }

    private fun isNews(item: SourceItem): Boolean {
        val before = digest()
        applyOne(item)
        return digest() != before
    }

    /** Returns the targets of [service]. */
    public fun targetsOf(service: ServiceId): List<KnownTarget> {
        val grouped = byService ?: targetsByKey.values.groupBy { it.entry.service }.also { byService = it }
        return grouped[service].orEmpty()
    }

    /** Returns the newest target at [address], or null. */
    public fun targetAt(address: String): KnownTarget? =
        targetsByKey.values.filter { it.entry.address == address }.maxByOrNull { it.revision }

    /** Returns the target [id], or null. */
    public fun target(id: TargetId): KnownTarget? = targetsByKey.values.firstOrNull { it.entry.id == id }

    /** A number that two daemons share only if they believe the same; what a target says of its warming up is left out. */
    public fun digest(): Long {
        var sum = routing?.number ?: 0L
        for ((key, target) in targetsByKey) {
            if (key !in
                lapsing
            ) {
                sum +=
                    mixed(31L * key.hashCode() + target.entry.copy(coldFor = Duration.ZERO, reports = 0).hashCode())
            }
        }
        for (key in takenOutByKey.keys) sum += mixed(key.hashCode().toLong())
        return sum
    }

    private fun mixed(value: Long): Long = (value xor (value ushr 29)) * -0x40a7b892e31b1a47L

    /** Removes targets whose grace has ended; called a few times a second. */
    public fun tick() {
        if (lapsing.isEmpty()) return
        val now = clock.now()
        val ended = lapsing.filterValues { it <= now }.keys.toList()
        for (key in ended) {
            lapsing.remove(key)
            dropTarget(key, "lapsed")
        }
        if (ended.isNotEmpty()) byService = null
    }

    private fun applyOne(item: SourceItem) {
        if (item.value == null) return remove(item)
        when (val fact = decoder.decode(item)) {
            is PublishedItem.Configuration -> takeRouting(fact.version)
            is PublishedItem.Target -> takeTarget(item, fact.entry)
            is PublishedItem.TakenOut -> takeOut(item.key, fact.failureDomain)
            is PublishedItem.Unusable -> {
                observer.unusable(item.key, item.revision, fact.reason)
                targetsByKey.remove(item.key)
            }
        }
    }

    private fun takeRouting(version: RoutingVersion) {
        val held = routing
        if (held != null && version.number <= held.number) {
            if (version.number < held.number) observer.versionRefused(version.number, held.number)
            return
        }
        routing = version
        observer.versionInForce(version, held?.number)
    }

    private fun takeTarget(item: SourceItem, entry: TargetEntry) {
        lapsing.remove(item.key)
        val held = targetsByKey[item.key]
        targetsByKey[item.key] = KnownTarget(entry, item.revision)
        if (held == null) observer.targetSeen(entry)
        if (entry.leaving && held?.entry?.leaving != true) observer.targetLeaving(entry)
    }

    private fun takeOut(key: String, failureDomain: FailureDomainId) {
        if (takenOutByKey.put(key, failureDomain) == null) observer.takenOut(failureDomain, true)
    }

    private fun remove(item: SourceItem) {
        takenOutByKey.remove(item.key)?.let { observer.takenOut(it, false) }
        if (item.key !in targetsByKey) return
        val ended = outageEndedAt
        if (ended != null && clock.now() - ended < LAPSE_GRACE) {
            lapsing[item.key] = ended + LAPSE_GRACE
            return
        }
        dropTarget(item.key, "removed")
    }

    private fun dropTarget(key: String, reason: String) {
        targetsByKey.remove(key)?.let { observer.targetGone(it.entry, reason) }
    }

    /** Hears of each change of belief. */
    public interface Observer {
        public fun versionInForce(version: RoutingVersion, before: Long?) {}

        public fun versionRefused(number: Long, held: Long) {}

        public fun targetSeen(entry: TargetEntry) {}

        public fun targetLeaving(entry: TargetEntry) {}

        public fun targetGone(entry: TargetEntry, reason: String) {}

        public fun takenOut(failureDomain: FailureDomainId, out: Boolean) {}

        public fun unusable(key: String, revision: Long, reason: String) {}

        public companion object {
            /** Hears nothing. */
            public val NONE: Observer = object : Observer {}
        }
    }

    private companion object {
        /**
         * Silence of the source after which removals may be entries that lapsed meanwhile. Longer than daemons go without
         * contact while the source is well ([ReaderRole.STALE] and its steps); entries take longer still to lapse.
         */
        val OUTAGE_GAP = 3_600.milliseconds

        /** Time that a living target has to report again once the source is back. */
        val LAPSE_GRACE = 2_000.milliseconds
    }
}

/** A target as it was last heard of. */
public class KnownTarget(
    public val entry: TargetEntry,
    public val revision: Long,
)
