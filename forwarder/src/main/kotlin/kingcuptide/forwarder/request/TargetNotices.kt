package kingcuptide.forwarder.request

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.eventLog
import kotlin.time.Duration

/**
 * Applies to the gate what the target beside this daemon says of itself in its responses.
 *
 * A rate holds until a response to a request that was sent after the last response that named one names none. Leaving holds
 * for the instance that has said so, which [onLeaving] gets with each such response. Until the first response, the least
 * rate that entries know holds, since a daemon that has just started knows none. Used on the event loop.
 */
class TargetNotices(
    private val clock: Clock,
    private val names: HeaderNames,
    private val gate: TargetGate,
    private val onLeaving: (TargetInstance) -> Unit,
) {
    private var namedAt = -Duration.INFINITE
    private var isNamedByHealthChecks = false
    private var hasResponded = false
    private var lastInvalid: String? = null

    /** The target [instance] has sent a valid response with [headers] to a request that was sent at [sentAt]. */
    fun responded(instance: TargetInstance, headers: Headers, sentAt: Duration) {
        hasResponded = true
        apply(headers, sentAt, "response")
        if (saysLeaving(headers, names)) onLeaving(instance)
    }

    /** The same for a health check, which withdraws a rate only if health checks have named it. */
    fun healthChecked(headers: Headers, sentAt: Duration) {
        val isNamed = rateNoticeIn(headers, names.rateLimit) != RateNotice.Absent
        if (!isNamed && !isNamedByHealthChecks) return
        isNamedByHealthChecks = isNamed
        apply(headers, sentAt, "health check")
    }

    /** An entry knows that the target has named [perSecond]; the target's own responses take precedence. */
    fun rateTold(perSecond: Double) {
        if (hasResponded || isNamedByHealthChecks || !perSecond.isFinite()) return
        val before = gate.ratePerSecond ?: Double.POSITIVE_INFINITY
        limitRate(minOf(before, maxOf(perSecond, MIN_PROBED_RATE_PER_SECOND)), "entry")
    }

    /** Another target responds at the address, of which nothing is known. */
    fun targetReplaced() {
        namedAt = -Duration.INFINITE
        isNamedByHealthChecks = false
        hasResponded = false
        gate.targetReplaced()
        limitRate(null, "replaced")
    }

    private fun apply(headers: Headers, sentAt: Duration, origin: String) {
        when (val notice = rateNoticeIn(headers, names.rateLimit)) {
            is RateNotice.Named -> {
                namedAt = clock.now()
                val minimum = if (isNamedByHealthChecks) 0.0 else MIN_PROBED_RATE_PER_SECOND
                limitRate(maxOf(notice.perSecond, minimum), origin)
            }
            is RateNotice.Invalid -> logInvalid(notice)
            RateNotice.Absent -> if (sentAt >= namedAt) limitRate(null, origin)
        }
    }

    private fun limitRate(perSecond: Double?, origin: String) {
        val before = gate.ratePerSecond
        if (perSecond == before) return
        gate.ratePerSecond = perSecond
        log.info("target_rate", "per_second" to perSecond, "before" to before, "origin" to origin)
    }

    private fun logInvalid(notice: RateNotice.Invalid) {
        if (notice.text == lastInvalid) return
        lastInvalid = notice.text
        log.warn("target_rate_invalid", "value" to notice.text, "expected" to "a decimal number of 0 or more")
    }

    private companion object {
        /** Rate at which a target gets requests even if it names less: only its responses tell when that ends. */
        const val MIN_PROBED_RATE_PER_SECOND = 0.5
        val log = eventLog("target")
    }
}

/** Returns whether the target that sent [headers] says in them that it leaves. */
internal fun saysLeaving(headers: Headers, names: HeaderNames): Boolean =
    headers.first(names.leaving)?.trim() == LEAVING_VALUE

private const val LEAVING_VALUE = "1"
