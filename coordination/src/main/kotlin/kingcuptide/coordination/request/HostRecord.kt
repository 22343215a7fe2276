package kingcuptide.coordination.request

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.process.Incarnation
import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Statistics of this entry's own attempts at one host, with the load that its gate reported. Thread-safe. */
internal class HostRecord(
    private val settings: ChooserSettings,
    private var slowStartAt: Duration,
    private var incarnation: Incarnation?,
) {
    private var outstanding = 0
    private var isUnavailable = false
    private var consecutiveFailures = 0
    private var ejectionCount = 0
    private var ejectedUntil = Duration.ZERO
    private var refusalShare = 0.0
    private var refusalShareAt = Duration.ZERO
    private var reportedLoad: GateLoad? = null
    private var loadReportedAt = Duration.ZERO
    private var lastProbeAt: Duration? = null

    /** Number of attempts of this entry that have not ended. */
    @get:Synchronized
    val outstandingNow: Int get() = outstanding

    /** Records the known incarnation of the host's daemon; a new one begins a slow start. */
    @Synchronized
    fun recordIncarnation(currentIncarnation: Incarnation?, now: Duration) {
        if (currentIncarnation == null || currentIncarnation == incarnation) return
        val hasRestarted = incarnation != null
        incarnation = currentIncarnation
        if (hasRestarted) restartSlowStart(now)
    }

    /** Records whether the host is unavailable; when it becomes available again, a slow start begins. */
    @Synchronized
    fun recordAvailability(nowUnavailable: Boolean, now: Duration) {
        if (isUnavailable && !nowUnavailable) restartSlowStart(now)
        isUnavailable = nowUnavailable
    }

    /** Begins a slow start of a host that is available again, and forgets its earlier failures. */
    @Synchronized
    fun restartSlowStart(now: Duration) {
        slowStartAt = now
        consecutiveFailures = 0
        ejectionCount = 0
        ejectedUntil = now
        reportedLoad = null
    }

    @Synchronized
    fun begin() {
        outstanding++
    }

    /** Ends an attempt. Returns true if the host has failed often enough in a row to be ejected. */
    @Synchronized
    fun finish(outcome: AttemptOutcome, newLoad: GateLoad?, now: Duration): Boolean {
        outstanding = maxOf(0, outstanding - 1)
        if (newLoad != null) {
            reportedLoad = newLoad
            loadReportedAt = now
        }
        updateRefusalShare(if (outcome == AttemptOutcome.REFUSED_BUSY) 1.0 else 0.0, now)
        return when (outcome) {
            AttemptOutcome.ANSWERED -> false.also { resetFailures() }
            AttemptOutcome.FAILED -> ++consecutiveFailures >= settings.failuresBeforeEjection
            AttemptOutcome.REFUSED_BUSY, AttemptOutcome.ABANDONED -> false
        }
    }

    /** Ejects the host; each consecutive ejection lasts longer. */
    @Synchronized
    fun eject(now: Duration, random: Random) {
        val ejectionTime =
            minOf(settings.baseEjectionTime * (1 shl minOf(ejectionCount, MAX_DOUBLINGS)), settings.maxEjectionTime)
        ejectionCount++
        ejectedUntil = now + ejectionTime * (0.5 + random.nextDouble())
        consecutiveFailures = settings.failuresBeforeEjection - 1
        slowStartAt = ejectedUntil
    }

    @Synchronized
    fun isEjected(now: Duration): Boolean = now < ejectedUntil

    /** Returns true if a host that seems dead may be probed now; allows one attempt per `probeInterval`. */
    @Synchronized
    fun tryAcquireProbe(now: Duration): Boolean {
        if (lastProbeAt?.let { now - it < settings.probeInterval } == true) return false
        lastProbeAt = now
        return true
    }

    /** Returns the weight of this host, from 0.05 to 1; 1 is a warm and healthy host with [slots] slots. */
    @Synchronized
    fun weight(now: Duration, slots: Int): Double {
        val capacityShare =
            minOf((now - slowStartAt) / settings.slowStart, limitShare(now, slots)).coerceIn(MIN_WEIGHT, 1.0)
        val failureFactor = if (consecutiveFailures > 0) FAILING_HOST_WEIGHT else 1.0
        return maxOf(MIN_WEIGHT, capacityShare * failureFactor * (1 - decayedRefusalShare(now)))
    }

    /**
     * Returns a load score; lower is better. It depends mostly on this entry's outstanding attempts: the load that the
     * host reports has a bounded effect, which decays.
     */
    @Synchronized
    fun loadScore(now: Duration): Double = (outstanding + 1) * (1 + utilization(now))

    private fun utilization(now: Duration): Double {
        val report = reportedLoad ?: return 0.0
        val utilization = (report.inFlight + report.queued).toDouble() / maxOf(1, report.limit)
        return utilization.coerceIn(0.0, MAX_UTILIZATION) * exp(-((now - loadReportedAt) / settings.loadTimeConstant))
    }

    /** The limit that the gate reported can lower the host's weight for a while, and never raises it. */
    private fun limitShare(now: Duration, slots: Int): Double {
        val report = reportedLoad ?: return 1.0
        val missingShare = 1 - report.limit.toDouble() / maxOf(1, slots)
        return 1 - missingShare.coerceIn(0.0, 1.0) * exp(-((now - loadReportedAt) / settings.limitTimeConstant))
    }

    private fun resetFailures() {
        consecutiveFailures = 0
        ejectionCount = 0
    }

    private fun updateRefusalShare(sample: Double, now: Duration) {
        refusalShare = decayedRefusalShare(now)
        refusalShareAt = now
        refusalShare += REFUSAL_SMOOTHING * (sample - refusalShare)
    }

    private fun decayedRefusalShare(now: Duration): Double =
        refusalShare * exp(-((now - refusalShareAt) / REFUSAL_TIME_CONSTANT))

    private companion object {
        const val MIN_WEIGHT = 0.05
        const val FAILING_HOST_WEIGHT = 0.3

        /** Weight of one attempt in the moving share of refusals by a busy gate. */
        const val REFUSAL_SMOOTHING = 0.3
        const val MAX_UTILIZATION = 2.0
        const val MAX_DOUBLINGS = 5
        val REFUSAL_TIME_CONSTANT = 2.seconds
    }
}
