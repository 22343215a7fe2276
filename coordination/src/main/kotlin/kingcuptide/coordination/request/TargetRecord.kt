package kingcuptide.coordination.request

import kotlin.math.exp
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Statistics of one target. [reportedAt] is the time of the latest load report, [loadReport]. */
internal class TargetRecord {
    var loadReport: GateLoadReport? = null
        private set
    var reportedAt: Duration = Duration.ZERO
        private set
    var ratePerSecond: Double? = null
    var ratedAt: Duration = Duration.ZERO
    var runTimesAt: Duration = -Duration.INFINITE
        private set
    var sentSinceReport = 0
    var outstanding = 0
    var runTimeRatio = 1.0
    var ejectedUntil: Duration = Duration.ZERO
    private var queue: Double? = null
    private var failureRate = 0.0
    private var failureRateAt: Duration = Duration.ZERO

    /** Records a load report. Queues are averaged over [QUEUE_SMOOTHING_TIME], since a single report varies too much. */
    fun recordLoadReport(report: GateLoadReport, now: Duration) {
        val reported = (report.inFlight + report.queued).toDouble()
        val before = queue ?: reported
        queue = before + (reported - before) * (1 - exp(-((now - reportedAt) / QUEUE_SMOOTHING_TIME)))
        loadReport = report
        reportedAt = now
        sentSinceReport = 0
        if (report.runTimes.isNotEmpty()) runTimesAt = now
    }

    /** Returns the number of requests at the gate and the target, or null if it is unknown. */
    fun queue(now: Duration): Double? = queue.takeIf { now - reportedAt <= MAX_QUEUE_AGE }

    /** Returns whether the gate has just reported that it takes no requests. */
    fun isClosed(now: Duration): Boolean = loadReport?.limit == 0 && now - reportedAt <= MAX_CLOSED_AGE

    /** Whether the target takes few requests a second until it is warm; also while nothing is known of it. */
    val isCold: Boolean get() = loadReport?.cold ?: true

    /** Returns the time until a cold target takes another request, by the latest report. */
    fun expectedColdWait(now: Duration): Duration {
        val report = loadReport?.takeIf { it.cold } ?: return Duration.ZERO
        return (report.wait - (now - reportedAt)).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the failure rate, which decays with time, so that a target that is healthy again gets requests. */
    fun failureRate(now: Duration): Double = failureRate * HALF.pow((now - failureRateAt) / FAILURE_HALF_LIFE)

    /** Records an outcome, 1 for a failure and 0 for a success; too many failures eject the target for a time. */
    fun recordOutcome(failed: Double, now: Duration) {
        val currentRate = failureRate(now)
        failureRate = currentRate + (failed - currentRate) * FAILURE_SMOOTHING
        failureRateAt = now
        if (failed > 0 && failureRate > EJECTION_FAILURE_RATE) {
            ejectedUntil = now + FAILING_EJECTION_TIME
            failureRate = FAILURE_RATE_AFTER_EJECTION
        }
    }

    /** The wait at a target with a named rate ends by its rate alone, however old the report is. */
    fun expectedRateWait(now: Duration): Duration {
        val report = loadReport ?: return Duration.ZERO
        val perSecond = report.ratePerSecond ?: return Duration.ZERO
        if (perSecond == 0.0) return MAX_RATE_WAIT
        val reportedWait = (report.wait - (now - reportedAt)).coerceAtLeast(Duration.ZERO)
        return minOf(reportedWait + 1.seconds * (sentSinceReport / perSecond), MAX_RATE_WAIT)
    }

    private companion object {
        const val FAILURE_SMOOTHING = 0.15
        const val HALF = 0.5

        /** Half-life of the failure rate while nothing is sent to the target. */
        val FAILURE_HALF_LIFE = 1_200.milliseconds

        /** Failure rate above which a target is ejected, and its assumed failure rate after the ejection. */
        const val EJECTION_FAILURE_RATE = 0.7
        const val FAILURE_RATE_AFTER_EJECTION = 0.4
        val FAILING_EJECTION_TIME = 1.seconds

        /** Age from which the report of a closed gate does not keep requests away any more. */
        val MAX_CLOSED_AGE = 1.seconds

        /** Greatest expected wait at a target with a named rate. */
        val MAX_RATE_WAIT = 1.minutes

        /** Time over which reported queues are averaged, and age beyond which they are unknown. */
        val QUEUE_SMOOTHING_TIME = 2.seconds
        val MAX_QUEUE_AGE = 8.seconds
    }
}
