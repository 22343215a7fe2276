package kingcuptide.coordination.request

import kingcuptide.coordination.connection.SuspectRecord
import kingcuptide.coordination.connection.TargetCrash
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.version.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Finds requests that crash targets, from the crash records that all daemons send each other.
 *
 * A fingerprint that was in flight at two target crashes is refused for [QUARANTINE_MS]. Not thread-safe.
 */
public class CrashSuspects(
    private val host: HostId,
    private val incarnation: Long,
    private val clock: Clock,
) {
    private val table = SuspectTable(SuspectSettings(suspectMs = SUSPECT_MS, quarantineMs = QUARANTINE_MS))
    private var crashCount = 0L
    private val crashByTarget = object : LinkedHashMap<TargetId, TargetCrash>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<TargetId, TargetCrash>) = size > MAX_CRASHES
    }

    /** Whether there is no record of any suspect or quarantined request. */
    public var isEmpty: Boolean = true
        private set

    /** Returns the verdict on [fingerprint]. */
    public fun verdict(fingerprint: Fingerprint): Verdict =
        if (isEmpty) Verdict.CLEAR else table.verdict(fingerprint)

    /**
     * Records that [target] beside this daemon crashed with [inFlight]; returns the records to send to the other daemons.
     * Further calls for [target] name the same crash until [targetResponds].
     */
    public fun targetCrashed(target: TargetId, inFlight: Collection<Fingerprint>): List<SuspectRecord> {
        val crash = crashByTarget.getOrPut(target) {
            TargetCrash(host, incarnation * CRASH_IDS_PER_INCARNATION + crashCount++)
        }
        val records = inFlight.toSet().take(MAX_SUSPECTS_PER_CRASH).map {
            table.add(it, crash, emptySet(), clock.now())
        }
        if (records.isNotEmpty()) isEmpty = false
        return records
    }

    /** Records that [target] responds again, so that its next crash is another one. */
    public fun targetResponds(target: TargetId) {
        crashByTarget.remove(target)
    }

    /** Returns all records, for a daemon that may have missed some. */
    public fun records(): List<SuspectRecord> = if (isEmpty) emptyList() else table.records(clock.now())

    /** Merges the [records] of another daemon. */
    public fun merge(records: List<SuspectRecord>) {
        records.forEach { table.merge(it, clock.now()) }
        if (records.isNotEmpty()) isEmpty = false
    }

    /** Records that this daemon's target responded to a request with [fingerprint], which clears a suspect. */
    public fun answered(fingerprint: Fingerprint): Unit = table.clear(fingerprint)

    /** Removes expired records; call it about once a second. */
    public fun tick() {
        if (isEmpty) return
        table.removeExpired(clock.now())
        isEmpty = table.counts().isEmpty()
    }

    public companion object {
        /** Retry-After of a quarantined request, which runs nowhere until its quarantine ends. */
        public val RETRY_AFTER: Duration = 30.seconds

        /** Long enough for a caller to retry the same request. */
        private const val SUSPECT_MS = 30_000L
        private const val QUARANTINE_MS = 60_000L
        private const val CRASH_IDS_PER_INCARNATION = 1_000L

        /** Targets whose last crash is remembered. */
        private const val MAX_CRASHES = 16

        /** Requests in flight that become suspects at one crash. */
        private const val MAX_SUSPECTS_PER_CRASH = 64
    }
}
