package kingcuptide.coordination.request

import kingcuptide.coordination.connection.SuspectRecord
import kingcuptide.coordination.connection.TargetCrash
import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Fingerprints with a death against them, at most [MAX_RECORDS]; the one that ends first makes room. Not thread-safe.
 */
internal class SuspectTable(
    private val settings: SuspectSettings,
) {
    /** How long a fingerprint with two deaths is refused. */
    var quarantineMs: Long = settings.quarantineMs

    private class Entry(val deaths: Set<TargetCrash>, val endsAt: Duration, val homeRegions: Set<RegionId>) {
        val verdict: Verdict
            get() = if (deaths.size >= DEATHS_FOR_QUARANTINE) Verdict.QUARANTINED else Verdict.SUSPECT
    }

    private val entries = HashMap<Fingerprint, Entry>()
    private val cleared = HashMap<Fingerprint, Set<TargetCrash>>()

    fun verdict(fingerprint: Fingerprint): Verdict {
        val entry = entries[fingerprint] ?: return Verdict.CLEAR
        val isCleared = entry.verdict == Verdict.SUSPECT && cleared[fingerprint] == entry.deaths
        return if (isCleared) Verdict.CLEAR else entry.verdict
    }

    /** Adds a death of the target beside this daemon and returns the merged record. */
    fun add(fingerprint: Fingerprint, death: TargetCrash, homeRegions: Set<RegionId>, now: Duration): SuspectRecord {
        merge(SuspectRecord(fingerprint, listOf(death), settings.suspectMs, homeRegions), now)
        return record(fingerprint, entries.getValue(fingerprint), now)
    }

    /** Takes in [record]; returns true if it brought a death that was not known. */
    fun merge(record: SuspectRecord, now: Duration): Boolean {
        val known = entries[record.fingerprint]
        val all = known?.deaths.orEmpty() + record.deaths
        val deaths = all.sortedWith(DEATH_ORDER).take(DEATHS_FOR_QUARANTINE).toSet()
        if (deaths.isEmpty() || deaths == known?.deaths) return false
        val convicted = deaths.size >= DEATHS_FOR_QUARANTINE
        val bound = if (convicted) quarantineMs else settings.suspectMs
        val already = record.deaths.size >= DEATHS_FOR_QUARANTINE || !convicted
        val lastsMs = if (already) record.remainingMs.coerceIn(0, bound) else bound
        makeRoom()
        entries[record.fingerprint] = Entry(deaths, now + lastsMs.milliseconds, record.homeRegions)
        return true
    }

    /** An answer clears a suspect here, until another death is heard of. Quarantine lasts its time. */
    fun clear(fingerprint: Fingerprint) {
        val entry = entries[fingerprint] ?: return
        if (entry.verdict == Verdict.SUSPECT) cleared[fingerprint] = entry.deaths
    }

    fun forgetEnded(now: Duration) {
        entries.values.removeIf { it.endsAt <= now }
        cleared.keys.retainAll(entries.keys)
    }

    /** Returns the records that a daemon in [region] may get, those that last longest first. */
    fun recordsFor(region: RegionId, now: Duration): List<SuspectRecord> =
        entries
            .filterValues { it.homeRegions.isEmpty() || region in it.homeRegions }
            .entries.sortedByDescending { it.value.endsAt }
            .map { (fingerprint, entry) -> record(fingerprint, entry, now) }

    fun counts(): Map<Verdict, Int> = entries.keys.groupingBy { verdict(it) }.eachCount()

    private fun record(fingerprint: Fingerprint, entry: Entry, now: Duration): SuspectRecord =
        SuspectRecord(fingerprint, entry.deaths.toList(), (entry.endsAt - now).inWholeMilliseconds, entry.homeRegions)

    private fun makeRoom() {
        if (entries.size < MAX_RECORDS) return
        entries.remove(entries.minBy { it.value.endsAt }.key)
    }

    internal companion object {
        private val DEATH_ORDER = compareBy<TargetCrash> { it.host }.thenBy { it.number }

        /** Deaths in the fleet after which a fingerprint is refused. */
        const val DEATHS_FOR_QUARANTINE = 2

        /** Greatest number of fingerprints that a daemon holds. */
        const val MAX_RECORDS = 512
    }
}
