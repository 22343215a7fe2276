package kingcuptide.coordination.request

import kingcuptide.coordination.connection.CrashRecord
import kingcuptide.coordination.connection.SuspectRecord
import kingcuptide.coordination.connection.SuspectedCrash
import kingcuptide.coordination.connection.TargetCrash
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.version.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Finds requests that crash targets, from the records that all daemons send each other.
 *
 * Runs of a request that start after a crash with it in flight show whether it was the cause. If a target survives one, the
 * crash no longer counts: what crashes each target that runs it is survived by none. If another target crashes with one
 * within [SUSPECT_TIME], the request is refused for [QUARANTINE_TIME]. Runs that started before the crash are no proof: the
 * request may have become harmful since, and several targets may crash at once for another cause. But a request that a
 * target had survived needs a third crash, since a popular one is often in flight at two by chance. Not thread-safe.
 */
public class CrashSuspects(
    private val host: HostId,
    private val incarnation: Long,
    private val clock: Clock,
) {
    private val table = CrashTable(SUSPECT_TIME, QUARANTINE_TIME)
    private var crashCount = 0L
    private val crashByTarget = object : LinkedHashMap<TargetId, TargetCrash>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<TargetId, TargetCrash>) = size > MAX_CRASHES
    }

    /** Whether there is no record of any crash. */
    public val isEmpty: Boolean get() = table.isEmpty

    /** Whether any request may be quarantined; if not, no fingerprint needs to be computed for a verdict. */
    public val mayQuarantine: Boolean get() = table.mayQuarantine

    /** Returns the verdict on [request]. */
    public fun verdict(request: FingerprintInput): Verdict = table.verdict(request, clock.now())

    /**
     * Records that [target] beside this daemon crashed with [inFlight], after it had survived the runs [survivedBefore];
     * returns the records to send to the other daemons. Further calls for [target] name the same crash until
     * [targetResponds].
     */
    public fun targetCrashed(
        target: TargetId,
        inFlight: Collection<CrashCandidate>,
        survivedBefore: List<SurvivedRun>,
    ): List<CrashRecord> {
        val crash = crashByTarget.getOrPut(target) {
            TargetCrash(host, incarnation * CRASH_IDS_PER_INCARNATION + crashCount++)
        }
        val now = clock.now()
        val survivors = survivedBefore.groupBy({ it.request.fingerprint }, { it.request.callerKey })
        val suspects = inFlight.groupBy { it.request.fingerprint }.entries.take(MAX_SUSPECTS_PER_CRASH)
        return suspects.map { (fingerprint, runs) ->
            val suspected = suspectedCrash(crash, runs, survivors[fingerprint].orEmpty().toSet(), now)
            table.merge(CrashRecord(fingerprint, listOf(suspected)), now)
            table.record(fingerprint, now)
        }
    }

    private fun suspectedCrash(
        crash: TargetCrash,
        runs: List<CrashCandidate>,
        survivedBefore: Set<Int>,
        now: Duration,
    ): SuspectedCrash {
        val at = runs.maxOf { it.at }
        val runMsByCaller = runs.groupBy { it.request.callerKey }.mapValues { (_, ofCaller) ->
            (at - ofCaller.maxOf { it.startedAt }).inWholeMilliseconds
        }
        return SuspectedCrash(crash, (now - at).inWholeMilliseconds, runMsByCaller, survivedBefore)
    }

    /** Records that [target] responds again, so that its next crash is another one. */
    public fun targetResponds(target: TargetId) {
        crashByTarget.remove(target)
    }

    /** Clears the crashes before each of [runs] for its caller; returns the records to send to the other daemons. */
    public fun survived(runs: () -> List<SurvivedRun>): List<CrashRecord> {
        if (!table.hasSuspects()) return emptyList()
        val now = clock.now()
        val cleared = runs().filter(table::clear).mapTo(LinkedHashSet()) { it.request.fingerprint }
        return cleared.map { table.record(it, now) }
    }

    /** Returns all records, for a daemon that may have missed some. */
    public fun records(): List<CrashRecord> = if (isEmpty) emptyList() else table.records(clock.now())

    /** Merges the [records] of another daemon. */
    public fun merge(records: List<CrashRecord>): Unit = records.forEach { table.merge(it, clock.now()) }

    /** Merges the [records] of a daemon of an earlier build, which tells neither callers nor survivors. */
    public fun mergeEarlier(records: List<SuspectRecord>): Unit = merge(records.map(::fromEarlier))

    /** Removes expired records; call it about once a second. */
    public fun tick(): Unit = table.removeExpired(clock.now())

    private fun fromEarlier(record: SuspectRecord): CrashRecord {
        val isQuarantined = record.deaths.size >= CRASHES_OF_EARLIER_QUARANTINE
        val ageMs = (if (isQuarantined) QUARANTINE_TIME else SUSPECT_TIME).inWholeMilliseconds - record.remainingMs
        return CrashRecord(record.fingerprint, record.deaths.map { SuspectedCrash(it, ageMs, emptyMap()) })
    }

    public companion object {
        /** Retry-After of a quarantined request, which runs nowhere until its quarantine ends. */
        public val RETRY_AFTER: Duration = 30.seconds

        /** Time for which a crash counts; long enough for a caller to retry the same request. */
        private val SUSPECT_TIME = 30.seconds
        private val QUARANTINE_TIME = 60.seconds
        private const val CRASH_IDS_PER_INCARNATION = 1_000L

        /** Crashes with which a record of an earlier build is one of a quarantine. */
        private const val CRASHES_OF_EARLIER_QUARANTINE = 2

        /** Targets whose last crash is remembered. */
        private const val MAX_CRASHES = 16

        /** Requests in flight that become suspects at one crash. */
        private const val MAX_SUSPECTS_PER_CRASH = 64

        /** Returns what daemons of an earlier build read of [record], or null if no crash counts. */
        public fun toEarlier(record: CrashRecord): SuspectRecord? {
            val counted = record.crashes.filter { !it.isCleared }.take(CRASHES_OF_EARLIER_QUARANTINE)
            if (counted.isEmpty()) return null
            val isQuarantined = counted.size >= CRASHES_OF_EARLIER_QUARANTINE
            val remaining =
                (if (isQuarantined) QUARANTINE_TIME else SUSPECT_TIME) - counted.minOf { it.ageMs }.milliseconds
            return if (remaining.isPositive()) {
                SuspectRecord(record.fingerprint, counted.map { it.crash }, remaining.inWholeMilliseconds)
            } else {
                null
            }
        }
    }
}
