package kingcuptide.coordination.request

import kingcuptide.coordination.connection.SuspectRecord
import kingcuptide.coordination.connection.TargetCrash
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId

/**
 * Finds requests that crash the targets that run them, from the deaths that all daemons tell each other.
 *
 * What was in flight at the death of two targets is refused for [QUARANTINE_MS]. Used from one thread.
 */
public class CrashSuspects(
    private val host: HostId,
    private val incarnation: Long,
    private val clock: Clock,
) {
    private val table = SuspectTable(SuspectSettings(suspectMs = SUSPECT_MS, quarantineMs = QUARANTINE_MS))
    private var deaths = 0L

    /** Whether anything is held against any request. */
    public var isEmpty: Boolean = true
        private set

    /** Returns what is held against [fingerprint]. */
    public fun verdict(fingerprint: Fingerprint): Verdict =
        if (isEmpty) Verdict.CLEAR else table.verdict(fingerprint)

    /** The own target died with [inFlight]; returns the records that the other daemons must have. */
    public fun targetCrashed(inFlight: Collection<Fingerprint>): List<SuspectRecord> {
        val death = TargetCrash(host, incarnation * DEATHS_PER_INCARNATION + deaths++)
        val records = inFlight.toSet().take(MAX_PER_DEATH).map { table.add(it, death, emptySet(), clock.now()) }
        if (records.isNotEmpty()) isEmpty = false
        return records
    }

    /** Takes in the [records] of another daemon. */
    public fun merge(records: List<SuspectRecord>) {
        records.forEach { table.merge(it, clock.now()) }
        if (records.isNotEmpty()) isEmpty = false
    }

    /** The own target answered a request with [fingerprint]. */
    public fun answered(fingerprint: Fingerprint): Unit = table.clear(fingerprint)

    /** Forgets what has ended; called about once a second. */
    public fun tick() {
        if (isEmpty) return
        table.forgetEnded(clock.now())
        isEmpty = table.counts().isEmpty()
    }

    private companion object {
        /** Long enough for a caller that comes again with the same request. */
        const val SUSPECT_MS = 30_000L
        const val QUARANTINE_MS = 60_000L
        const val DEATHS_PER_INCARNATION = 1_000L

        /** Requests in flight that are held suspect at one death. */
        const val MAX_PER_DEATH = 64
    }
}
