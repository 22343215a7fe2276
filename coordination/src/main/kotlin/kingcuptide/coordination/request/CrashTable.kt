package kingcuptide.coordination.request

import kingcuptide.coordination.connection.CrashRecord
import kingcuptide.coordination.connection.SuspectedCrash
import kingcuptide.coordination.connection.TargetCrash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Crashes of targets by the fingerprints of the requests that they ran, at most [MAX_FINGERPRINTS]; the one whose last crash
 * is the oldest is evicted. Not thread-safe.
 *
 * A crash confirms an earlier one, less than [suspectFor] before, if a request in flight at it had started after the earlier
 * one. That quarantines the request for [quarantineFor] after the crash, unless a run that started after either of them is
 * survived. If a target had survived the request before it crashed, a third crash must confirm the second. Crashes count for
 * a caller that had requests in flight, and for all callers as long as no request of any caller is survived.
 */
internal class CrashTable(
    private val suspectFor: Duration,
    private val quarantineFor: Duration,
) {
    private val crashesByFingerprint = HashMap<Fingerprint, List<Crash>>()

    /** Time for which a crash is stored: that of a quarantine, and of the crashes before that are its reason. */
    private val retention = quarantineFor + suspectFor * 2

    val isEmpty: Boolean get() = crashesByFingerprint.isEmpty()

    /** Whether any request may be quarantined, which needs two crashes that are not cleared. */
    var mayQuarantine: Boolean = false
        private set

    fun verdict(request: FingerprintInput, now: Duration): Verdict {
        val crashes = crashesByFingerprint[request.fingerprint] ?: return Verdict.CLEAR
        val ofCaller = crashes.mapNotNull { it.runOf(request.callerKey) }
        val ofAny = crashes.mapNotNull { it.runOfAny() }
        return when {
            isQuarantined(ofCaller, now) || isQuarantined(ofAny, now) -> Verdict.QUARANTINED
            (ofCaller + ofAny).any { now < it.endedAt + suspectFor } -> Verdict.SUSPECT
            else -> Verdict.CLEAR
        }
    }

    /** Merges [record] of another daemon, or of this one. */
    fun merge(record: CrashRecord, now: Duration) {
        val known = crashesByFingerprint[record.fingerprint].orEmpty().associateBy { it.report.crash }
        val received = record.crashes.associate { it.crash to merged(known[it.crash], it, now) }
        val crashes = (known + received).values.sortedByDescending { it.at }.take(MAX_CRASHES)
        if (crashes.isEmpty()) return
        if (record.fingerprint !in crashesByFingerprint) makeRoom()
        crashesByFingerprint[record.fingerprint] = crashes
        changed()
    }

    /** Records that [run] was survived. Returns whether that clears its caller of a crash. */
    fun clear(run: SurvivedRun): Boolean {
        val crashes = crashesByFingerprint[run.request.fingerprint] ?: return false
        if (crashes.none { it.isClearedBy(run) }) return false
        crashesByFingerprint[run.request.fingerprint] =
            crashes.map { if (it.isClearedBy(run)) it.clearedBy(run) else it }
        changed()
        return true
    }

    /** Returns whether any request may have crashed a target. */
    fun hasSuspects(): Boolean = crashesByFingerprint.values.any { crashes -> crashes.any { !it.report.isCleared } }

    fun removeExpired(now: Duration) {
        if (isEmpty) return
        crashesByFingerprint.replaceAll { _, crashes -> crashes.filter { now < it.at + retention } }
        crashesByFingerprint.values.removeIf { it.isEmpty() }
        changed()
    }

    fun record(fingerprint: Fingerprint, now: Duration): CrashRecord {
        val crashes = crashesByFingerprint.getValue(fingerprint)
        return CrashRecord(fingerprint, crashes.map { it.report.copy(ageMs = (now - it.at).inWholeMilliseconds) })
    }

    /** Returns all records, that of the latest crash first. */
    fun records(now: Duration): List<CrashRecord> =
        crashesByFingerprint.entries.sortedByDescending { it.value.first().at }.map { record(it.key, now) }

    private fun changed() {
        mayQuarantine = crashesByFingerprint.values.any { crashes -> crashes.count { !it.report.isCleared } > 1 }
    }

    private fun isQuarantined(runs: List<InterruptedRun>, now: Duration): Boolean =
        runs.any { now < it.endedAt + quarantineFor && isProof(it, runs) }

    private fun isProof(last: InterruptedRun, runs: List<InterruptedRun>): Boolean = runs.any { second ->
        val isNeverSurvived = !last.wasSurvivedBefore && !second.wasSurvivedBefore
        isConfirmedBy(second, last) && (isNeverSurvived || runs.any { first -> isConfirmedBy(first, second) })
    }

    private fun isConfirmedBy(first: InterruptedRun, second: InterruptedRun): Boolean =
        first.crash != second.crash &&
            second.startedAt >= first.endedAt - MAX_TIME_ERROR &&
            second.endedAt - first.endedAt < suspectFor

    /** Each daemon dates a crash by the age that it was told, so that the earliest date is the closest. */
    private fun merged(known: Crash?, received: SuspectedCrash, now: Duration): Crash {
        val at = now - received.ageMs.coerceIn(0, retention.inWholeMilliseconds).milliseconds
        if (known == null) return Crash(at, received)
        val report = known.report.copy(
            runMsByCaller = received.runMsByCaller + known.report.runMsByCaller,
            survivedBefore = known.report.survivedBefore + received.survivedBefore,
            survivedBy = known.report.survivedBy + received.survivedBy,
        )
        return Crash(minOf(known.at, at), report)
    }

    private fun makeRoom() {
        if (crashesByFingerprint.size < MAX_FINGERPRINTS) return
        crashesByFingerprint.remove(crashesByFingerprint.minBy { it.value.first().at }.key)
    }

    /** A crash at the time [at] of this daemon; the age in [report] is unused. */
    private class Crash(
        val at: Duration,
        val report: SuspectedCrash,
    ) {
        /** Returns the last request of [caller] in flight, unless one has been survived since. */
        fun runOf(caller: Int): InterruptedRun? =
            report.runMsByCaller[caller]?.takeIf { caller !in report.survivedBy }
                ?.let { run(it, caller in report.survivedBefore) }

        /** Returns the last request in flight, unless one of any caller has been survived since. */
        fun runOfAny(): InterruptedRun? =
            if (report.survivedBy.isEmpty()) {
                run(report.runMsByCaller.values.minOrNull() ?: 0, report.survivedBefore.isNotEmpty())
            } else {
                null
            }

        fun isClearedBy(run: SurvivedRun): Boolean =
            report.runMsByCaller.isNotEmpty() &&
                at < run.startedAt &&
                run.request.callerKey !in report.survivedBy

        fun clearedBy(run: SurvivedRun) =
            Crash(at, report.copy(survivedBy = report.survivedBy + run.request.callerKey))

        private fun run(runMs: Long, wasSurvivedBefore: Boolean) =
            InterruptedRun(report.crash, at - runMs.milliseconds, at, wasSurvivedBefore)
    }

    private class InterruptedRun(
        val crash: TargetCrash,
        val startedAt: Duration,
        val endedAt: Duration,
        val wasSurvivedBefore: Boolean,
    )

    private companion object {
        /** Maximum number of fingerprints that a daemon stores. */
        const val MAX_FINGERPRINTS = 512

        /** Maximum number of crashes that are stored for one fingerprint. */
        const val MAX_CRASHES = 16

        /** Messages tell ages, so that their time in transit makes a crash at another host seem later than it was. */
        val MAX_TIME_ERROR = 50.milliseconds
    }
}
