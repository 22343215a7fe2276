package kingcuptide.coordination.request

import kingcuptide.coordination.connection.SuspectRecord
import kingcuptide.coordination.connection.TargetCrash
import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Fingerprints that were in flight when a target crashed, at most [MAX_RECORDS]; the one that expires first is evicted.
 * Not thread-safe.
 */
internal class SuspectTable(
    private val settings: SuspectSettings,
) {
    /** How long a fingerprint with two crashes is refused. */
    var quarantineMs: Long = settings.quarantineMs

    private class Entry(val crashes: Set<TargetCrash>, val expiresAt: Duration, val homeRegions: Set<RegionId>) {
        val verdict: Verdict
            get() = if (crashes.size >= CRASHES_FOR_QUARANTINE) Verdict.QUARANTINED else Verdict.SUSPECT
    }

    private val entries = HashMap<Fingerprint, Entry>()
    private val cleared = HashMap<Fingerprint, Set<TargetCrash>>()

    fun verdict(fingerprint: Fingerprint): Verdict {
        val entry = entries[fingerprint] ?: return Verdict.CLEAR
        val isCleared = entry.verdict == Verdict.SUSPECT && cleared[fingerprint] == entry.crashes
        return if (isCleared) Verdict.CLEAR else entry.verdict
    }

    /** Adds a crash of the target beside this daemon and returns the merged record. */
    fun add(fingerprint: Fingerprint, crash: TargetCrash, homeRegions: Set<RegionId>, now: Duration): SuspectRecord {
        merge(SuspectRecord(fingerprint, listOf(crash), settings.suspectMs, homeRegions), now)
        return record(fingerprint, entries.getValue(fingerprint), now)
    }

    /** Merges [record] and returns whether it changed the known crashes of its fingerprint. */
    fun merge(record: SuspectRecord, now: Duration): Boolean {
        val known = entries[record.fingerprint]
        val allCrashes = known?.crashes.orEmpty() + record.deaths
        val crashes = allCrashes.sortedWith(CRASH_ORDER).take(CRASHES_FOR_QUARANTINE).toSet()
        if (crashes.isEmpty() || crashes == known?.crashes) return false
        val isQuarantined = crashes.size >= CRASHES_FOR_QUARANTINE
        val maxDurationMs = if (isQuarantined) quarantineMs else settings.suspectMs
        val keepsRemaining = record.deaths.size >= CRASHES_FOR_QUARANTINE || !isQuarantined
        val durationMs = if (keepsRemaining) record.remainingMs.coerceIn(0, maxDurationMs) else maxDurationMs
        makeRoom()
        entries[record.fingerprint] = Entry(crashes, now + durationMs.milliseconds, record.homeRegions)
        return true
    }

    /** Clears a suspect at this daemon until another crash becomes known. A quarantine is not shortened. */
    fun clear(fingerprint: Fingerprint) {
        val entry = entries[fingerprint] ?: return
        if (entry.verdict == Verdict.SUSPECT) cleared[fingerprint] = entry.crashes
    }

    fun removeExpired(now: Duration) {
        entries.values.removeIf { it.expiresAt <= now }
        cleared.keys.retainAll(entries.keys)
    }

    /** Returns the records that a daemon in [region] may receive, the last to expire first. */
    fun recordsFor(region: RegionId, now: Duration): List<SuspectRecord> =
        records(now).filter { it.homeRegions.isEmpty() || region in it.homeRegions }

    /** Returns all records, the last to expire first. */
    fun records(now: Duration): List<SuspectRecord> =
        entries.entries
            .sortedByDescending { it.value.expiresAt }
            .map { (fingerprint, entry) -> record(fingerprint, entry, now) }

    fun counts(): Map<Verdict, Int> = entries.keys.groupingBy { verdict(it) }.eachCount()

    private fun record(fingerprint: Fingerprint, entry: Entry, now: Duration): SuspectRecord =
        SuspectRecord(
            fingerprint,
            entry.crashes.toList(),
            (entry.expiresAt - now).inWholeMilliseconds,
            entry.homeRegions,
        )

    private fun makeRoom() {
        if (entries.size < MAX_RECORDS) return
        entries.remove(entries.minBy { it.value.expiresAt }.key)
    }

    internal companion object {
        private val CRASH_ORDER = compareBy<TargetCrash> { it.host }.thenBy { it.number }

        /** Crashes in the fleet after which a fingerprint is refused. */
        const val CRASHES_FOR_QUARANTINE = 2

        /** Maximum number of fingerprints that a daemon stores. */
        const val MAX_RECORDS = 512
    }
}
