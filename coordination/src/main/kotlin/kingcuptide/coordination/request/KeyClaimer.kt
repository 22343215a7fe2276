package kingcuptide.coordination.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.connection.ClaimId
import kingcuptide.coordination.connection.KeyClaim
import kingcuptide.coordination.connection.KeyCompleted
import kingcuptide.coordination.connection.KeyGrant
import kingcuptide.coordination.connection.KeyMessage
import kingcuptide.coordination.connection.KeyRefusal
import kingcuptide.coordination.connection.KeyRefusalReason
import kingcuptide.coordination.connection.KeyRelease
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.ResultCode
import kotlin.time.Duration

/**
 * The gate's side of idempotency keys: a keyed non-idempotent request runs here only after a quorum of the key's
 * witnesses granted this claim. Thread-safe.
 *
 * The caller sends all returned messages, also those to this host, whose witness replies like any other.
 */
public class KeyClaimer internal constructor(
    private val self: HostId,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val settings: KeySettings,
    private val rules: KeyRules = keyRules(settings),
) {
    private val claims = HashMap<ClaimId, OpenClaim>()
    private val refusals = LongArray(KeyRefusalReason.entries.size)
    private var view: WitnessView? = null
    private var nextSequence = 1L
    private var counters = KeyClaimerCounters()

    /** Sets the newest view of the fleet, which determines the witnesses of later claims. */
    @Synchronized
    public fun confirm(view: WitnessView) {
        this.view = view
    }

    /**
     * Claims the key of [request]. [onDecision] is called exactly once, perhaps before this returns; it must neither
     * block nor call back.
     */
    @Synchronized
    public fun start(
        request: KeyedRequest,
        onDecision: (KeyDecision) -> Unit,
    ): List<Outbound> {
        counters = counters.copy(started = counters.started + 1)
        val witnesses = view?.witnesses(request.keyHash, request.homeRegions).orEmpty()
        val now = clock.now()
        val remaining = minOf(request.deadline - now, settings.maxRemaining)
        val recipients = witnesses.filterNotNull()
        if (recipients.size < rules.quorum || remaining <= Duration.ZERO || claims.size >= settings.maxOpenClaims) {
            counters = counters.copy(notGranted = counters.notGranted + 1)
            onDecision(KeyDecision.Refused(ResultCode.KEY_NOT_GRANTED, DEFAULT_RETRY_AFTER_MS))
            return emptyList()
        }
        val id = ClaimId(self, incarnation, nextSequence++)
        val message = KeyClaim(request.keyHash, id, witnesses, request.homeRegions, remaining.inWholeMilliseconds)
        claims[id] = OpenClaim(
            message,
            sentAt = now,
            latestStart = now + minOf(settings.maxStartDelay, remaining),
            expiresAt = request.deadline + settings.maxStartDelay,
            onDecision,
        )
        return recipients.map { Outbound(it, message) }
    }

    /** Handles the reply of a witness. */
    @Synchronized
    public fun receive(
        from: HostId,
        message: KeyMessage,
    ): List<Outbound> {
        val claim = claims[message.claim]?.takeIf { !it.decided && from in it.message.witnesses } ?: return emptyList()
        when (message) {
            is KeyGrant -> claim.grants += from
            is KeyRefusal -> claim.recordRefusal(from, message)
            is KeyClaim, is KeyCompleted, is KeyRelease -> return emptyList()
        }
        return decide(claim)
    }

    /**
     * Decides whether the request of [id] may start now. Call it immediately before the first byte is sent to the
     * target; it succeeds at most once. After an error ([ResultCode.KEY_NOT_GRANTED]) call [release].
     */
    @Synchronized
    public fun begin(id: ClaimId): Result<Unit, ResultCode> {
        val claim = claims[id]?.takeIf { it.granted && !it.begun } ?: return Err(ResultCode.KEY_NOT_GRANTED)
        if (rules.limitsStartDelay && clock.now() > claim.latestStart) {
            counters = counters.copy(begunTooLate = counters.begunTooLate + 1)
            return Err(ResultCode.KEY_NOT_GRANTED)
        }
        claim.begun = true
        return Ok(Unit)
    }

    /** Ends the claim [id]; the returned messages tell the witnesses that its request ran with HTTP [status]. */
    @Synchronized
    public fun complete(
        id: ClaimId,
        status: Int,
    ): List<Outbound> {
        val claim = claims.remove(id) ?: return emptyList()
        return messagesToWitnesses(claim, KeyCompleted(claim.message.keyHash, id, status))
    }

    /** Frees the key of [id]. Call it only if no byte of its request reached the target; it cannot start afterwards. */
    @Synchronized
    public fun release(id: ClaimId): List<Outbound> {
        val claim = claims.remove(id) ?: return emptyList()
        counters = counters.copy(released = counters.released + 1)
        return messagesToWitnesses(claim, KeyRelease(claim.message.keyHash, id))
    }

    /** Drops the claim [id] without freeing its key, because the outcome of its request is unknown. */
    @Synchronized
    public fun abandon(id: ClaimId) {
        claims.remove(id)
    }

    /** Resends unanswered claims, gives up claims that timed out, and drops granted claims that were never ended. */
    @Synchronized
    public fun tick(): List<Outbound> {
        val now = clock.now()
        claims.values.removeIf { it.decided && now > it.expiresAt }
        return claims.values.filter { !it.decided }.flatMap { claim ->
            val waited = now - claim.sentAt
            when {
                waited >= settings.claimTimeout -> giveUp(claim)
                waited >= settings.resendDelay && !claim.resent -> resend(claim)
                else -> emptyList()
            }
        }
    }

    /** Returns a snapshot of the counters. */
    @Synchronized
    public fun counters(): KeyClaimerCounters = counters.copy(
        open = claims.size,
        refusals = KeyRefusalReason.entries.associateWith { refusals[it.ordinal] },
    )

    private fun OpenClaim.recordRefusal(
        from: HostId,
        message: KeyRefusal,
    ) {
        if (from !in grants && this.refusals.put(from, message) == null) {
            this@KeyClaimer.refusals[message.reason.ordinal]++
        }
    }

    private fun decide(claim: OpenClaim): List<Outbound> {
        if (claim.grants.size >= rules.quorum) {
            claim.decided = true
            claim.granted = true
            counters = counters.copy(granted = counters.granted + 1)
            claim.onDecision(KeyDecision.Granted(claim.message.claim))
            return emptyList()
        }
        val unanswered = claim.recipients.count { it !in claim.grants && it !in claim.refusals }
        val isQuorumUnreachable = claim.grants.size + unanswered < rules.quorum
        // While no witness has reported the key as held, the last reply may still do so.
        val mayStillReportHeld = unanswered > 0 && claim.refusals.values.none { it.reason == KeyRefusalReason.HELD }
        return if (isQuorumUnreachable && !mayStillReportHeld) giveUp(claim) else emptyList()
    }

    private fun giveUp(claim: OpenClaim): List<Outbound> {
        claim.decided = true
        claims.remove(claim.message.claim)
        val held = claim.refusals.values.filter { it.reason == KeyRefusalReason.HELD }
        val decision = if (held.isEmpty()) notGranted(claim) else alreadyUsed(held)
        claim.onDecision(decision)
        // A witness whose grant was lost or is still in transit must not keep the key for a claim that never runs.
        return messagesToWitnesses(claim, KeyRelease(claim.message.keyHash, claim.message.claim))
    }

    private fun alreadyUsed(held: List<KeyRefusal>): KeyDecision {
        counters = counters.copy(alreadyUsed = counters.alreadyUsed + 1)
        val status = held.firstNotNullOfOrNull { it.status }
        // A claim without a status may still release the key; a completed one never does.
        val retryAfterMs = if (status == null) DEFAULT_RETRY_AFTER_MS else 0
        return KeyDecision.Refused(ResultCode.KEY_ALREADY_USED, retryAfterMs, status)
    }

    private fun notGranted(claim: OpenClaim): KeyDecision {
        counters = counters.copy(notGranted = counters.notGranted + 1)
        // Two grants are enough, so the claim can succeed once the second longest wait has passed.
        val waits = claim.refusals.values.map { it.retryAfterMs }.sortedDescending()
        val retryAfterMs = maxOf(waits.getOrElse(1) { 0 }, DEFAULT_RETRY_AFTER_MS)
        return KeyDecision.Refused(ResultCode.KEY_NOT_GRANTED, retryAfterMs)
    }

    private fun resend(claim: OpenClaim): List<Outbound> {
        claim.resent = true
        counters = counters.copy(resent = counters.resent + 1)
        return claim.recipients
            .filter { it !in claim.grants && it !in claim.refusals }
            .map { Outbound(it, claim.message) }
    }

    private fun messagesToWitnesses(
        claim: OpenClaim,
        message: KeyMessage,
    ): List<Outbound> = claim.recipients.map { Outbound(it, message) }

    private class OpenClaim(
        val message: KeyClaim,
        val sentAt: Duration,
        val latestStart: Duration,
        val expiresAt: Duration,
        val onDecision: (KeyDecision) -> Unit,
    ) {
        val recipients = message.witnesses.filterNotNull()
        val grants = HashSet<HostId>()
        val refusals = HashMap<HostId, KeyRefusal>()
        var resent = false
        var decided = false
        var granted = false
        var begun = false
    }

    private companion object {
        const val DEFAULT_RETRY_AFTER_MS = 1_000L
    }
}

/** Returns the claimer of the gate on [self]. */
public fun keyClaimer(
    self: HostId,
    incarnation: Incarnation,
    clock: Clock,
    settings: KeySettings = KeySettings(),
): KeyClaimer = KeyClaimer(self, incarnation, clock, settings)
