package kingcuptide.coordination.request

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.process.Incarnation
import kotlin.math.exp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What this entry has itself seen of one host. Thread-safe. */
internal class HostRecord(
    private val settings: ChooserSettings,
    private var seenSince: Duration,
    private var incarnation: Incarnation?,
) {
    private var outstanding = 0
    private var outOfUse = false
    private var failuresInRow = 0
    private var asideCount = 0
    private var asideUntil = Duration.ZERO
    private var busyShare = 0.0
    private var busyUpdatedAt = Duration.ZERO
    private var load: GateLoad? = null
    private var loadAt = Duration.ZERO
    private var lastProbe: Duration? = null

    /** Attempts of this entry that have not ended. */
    @get:Synchronized
    val outstandingNow: Int get() = outstanding

    /** Notes the incarnation that is known; a new one starts slowly. */
    @Synchronized
    fun sight(known: Incarnation?, now: Duration) {
        if (known == null || known == incarnation) return
        val restarted = incarnation != null
        incarnation = known
        if (restarted) returned(now)
    }

    /** Notes whether the host is out of use; when it comes back it starts slowly. */
    @Synchronized
    fun noteUse(nowOutOfUse: Boolean, now: Duration) {
        if (outOfUse && !nowOutOfUse) returned(now)
        outOfUse = nowOutOfUse
    }

    /** The host is back after it was out of use: it starts slowly, and old failures no longer count. */
    @Synchronized
    fun returned(now: Duration) {
        seenSince = now
        failuresInRow = 0
        asideCount = 0
        asideUntil = now
        load = null
    }

    @Synchronized
    fun begin() {
        outstanding++
    }

    /** Ends an attempt. Returns true if the host has failed so often that it is to be set aside. */
    @Synchronized
    fun finish(outcome: AttemptOutcome, newLoad: GateLoad?, now: Duration): Boolean {
        outstanding = maxOf(0, outstanding - 1)
        if (newLoad != null) {
            load = newLoad
            loadAt = now
        }
        recordBusy(if (outcome == AttemptOutcome.REFUSED_BUSY) 1.0 else 0.0, now)
        return when (outcome) {
            AttemptOutcome.ANSWERED -> false.also { succeeded() }
            AttemptOutcome.FAILED -> ++failuresInRow >= settings.failuresBeforeAside
            AttemptOutcome.REFUSED_BUSY, AttemptOutcome.ABANDONED -> false
        }
    }

    /** Sets the host aside, for longer each time in a row. */
    @Synchronized
    fun setAside(now: Duration, random: Random) {
        val length = minOf(settings.firstAside * (1 shl minOf(asideCount, MAX_DOUBLINGS)), settings.longestAside)
        asideCount++
        asideUntil = now + length * (0.5 + random.nextDouble())
        failuresInRow = settings.failuresBeforeAside - 1
        seenSince = asideUntil
    }

    @Synchronized
    fun isAside(now: Duration): Boolean = now < asideUntil

    /** Takes the right to try a host believed dead; one attempt per interval gets it. */
    @Synchronized
    fun takeProbe(now: Duration): Boolean {
        if (lastProbe?.let { now - it < settings.probeInterval } == true) return false
        lastProbe = now
        return true
    }

    /** Returns the share of a full host's requests, of [slots] at a time, that this host should get. */
    @Synchronized
    fun weight(now: Duration, slots: Int): Double {
        val started = minOf((now - seenSince) / settings.slowStart, limitShare(now, slots)).coerceIn(MIN_WEIGHT, 1.0)
        val failing = if (failuresInRow > 0) FAILING_WEIGHT else 1.0
        return maxOf(MIN_WEIGHT, started * failing * (1 - busyNow(now)))
    }

    /** Returns how burdened the host seems: the fewer the better. The host's own word counts for little and not for long. */
    @Synchronized
    fun burden(now: Duration): Double = (outstanding + 1) * (1 + utilization(now))

    private fun utilization(now: Duration): Double {
        val word = load ?: return 0.0
        val share = (word.inFlight + word.queued).toDouble() / maxOf(1, word.limit)
        return share.coerceIn(0.0, MAX_UTILIZATION) * exp(-((now - loadAt) / settings.loadMemory))
    }

    /** The gate's own word can lower a host's share for a while, and never raises it. */
    private fun limitShare(now: Duration, slots: Int): Double {
        val word = load ?: return 1.0
        val missing = 1 - word.limit.toDouble() / maxOf(1, slots)
        return 1 - missing.coerceIn(0.0, 1.0) * exp(-((now - loadAt) / settings.limitMemory))
    }

    private fun succeeded() {
        failuresInRow = 0
        asideCount = 0
    }

    private fun recordBusy(sample: Double, now: Duration) {
        busyShare = busyNow(now)
        busyUpdatedAt = now
        busyShare += BUSY_WEIGHT * (sample - busyShare)
    }

    private fun busyNow(now: Duration): Double = busyShare * exp(-((now - busyUpdatedAt) / BUSY_MEMORY))

    private companion object {
        const val MIN_WEIGHT = 0.05
        const val FAILING_WEIGHT = 0.3
        const val BUSY_WEIGHT = 0.3
        const val MAX_UTILIZATION = 2.0
        const val MAX_DOUBLINGS = 5
        val BUSY_MEMORY = 2.seconds
    }
}
