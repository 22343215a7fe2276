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
 * The gate's side of idempotency keys: a keyed non-repeatable request runs here only after a quorum of the key's
 * witnesses granted this claim. Thread-safe.
 *
 * Send what the functions return, including to this host itself; the witness of this host answers like any other.
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

    /** Notes the newest view of the fleet, from which the witnesses of later claims are taken. */
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
        val slots = witnesses.filterNotNull()
        if (slots.size < rules.quorum || remaining <= Duration.ZERO || claims.size >= settings.maxClaims) {
            counters = counters.copy(notGranted = counters.notGranted + 1)
            onDecision(KeyDecision.Refused(ResultCode.KEY_NOT_GRANTED, DEFAULT_RETRY_AFTER_MS))
            return emptyList()
        }
        val id = ClaimId(self, incarnation, nextSequence++)
        val message = KeyClaim(request.keyHash, id, witnesses, request.homeRegions, remaining.inWholeMilliseconds)
        claims[id] = OpenClaim(
            message,
            sentAt = now,
            lastStart = now + minOf(settings.maxStartDelay, remaining),
            forgetAt = request.deadline + settings.maxStartDelay,
            onDecision,
        )
        return slots.map { Outbound(it, message) }
    }

    /** Takes in a witness's answer. */
    @Synchronized
    public fun receive(
        from: HostId,
        message: KeyMessage,
    ): List<Outbound> {
        val claim = claims[message.claim]?.takeIf { !it.decided && from in it.message.witnesses } ?: return emptyList()
        when (message) {
            is KeyGrant -> claim.grants += from
            is KeyRefusal -> claim.noteRefusal(from, message)
            is KeyClaim, is KeyCompleted, is KeyRelease -> return emptyList()
        }
        return decide(claim)
    }

    /**
     * Decides whether the request of [id] may start now. Call it immediately before the first byte goes to the target;
     * it succeeds at most once. After a failure call [release].
     */
    @Synchronized
    public fun begin(id: ClaimId): Result<Unit, ResultCode> {
        val claim = claims[id]?.takeIf { it.granted && !it.begun } ?: return Err(ResultCode.KEY_NOT_GRANTED)
        if (rules.limitsStart && clock.now() > claim.lastStart) {
            counters = counters.copy(begunTooLate = counters.begunTooLate + 1)
            return Err(ResultCode.KEY_NOT_GRANTED)
        }
        claim.begun = true
        return Ok(Unit)
    }

    /** Tells the witnesses that the request of [id] ran and was answered with [status]. */
    @Synchronized
    public fun complete(
        id: ClaimId,
        status: Int,
    ): List<Outbound> {
        val claim = claims.remove(id) ?: return emptyList()
        return toWitnesses(claim, KeyCompleted(claim.message.keyHash, id, status))
    }

    /** Frees the key of [id], because surely no byte of its request reached the target. It cannot start afterwards. */
    @Synchronized
    public fun release(id: ClaimId): List<Outbound> {
        val claim = claims.remove(id) ?: return emptyList()
        counters = counters.copy(released = counters.released + 1)
        return toWitnesses(claim, KeyRelease(claim.message.keyHash, id))
    }

    /** Forgets [id] without freeing its key, because its outcome is unknown. */
    @Synchronized
    public fun abandon(id: ClaimId) {
        claims.remove(id)
    }

    /** Sends unanswered claims again, gives up those that waited too long, and forgets those that nobody ended. */
    @Synchronized
    public fun tick(): List<Outbound> {
        val now = clock.now()
        claims.values.removeIf { it.decided && now > it.forgetAt }
        return claims.values.filter { !it.decided }.flatMap { claim ->
            val waited = now - claim.sentAt
            when {
                waited >= settings.giveUpAfter -> giveUp(claim)
                waited >= settings.resendAfter && !claim.resent -> resend(claim)
                else -> emptyList()
            }
        }
    }

    /** Returns what was counted so far. */
    @Synchronized
    public fun counters(): KeyClaimerCounters = counters.copy(
        open = claims.size,
        refusals = KeyRefusalReason.entries.associateWith { refusals[it.ordinal] },
    )

    private fun OpenClaim.noteRefusal(
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
        val unanswered = claim.slots.count { it !in claim.grants && it !in claim.refusals }
        val isHopeless = claim.grants.size + unanswered < rules.quorum
        // While the key is not known to be held, the last answer may still tell.
        val mayLearnMore = unanswered > 0 && claim.refusals.values.none { it.reason == KeyRefusalReason.HELD }
        return if (isHopeless && !mayLearnMore) giveUp(claim) else emptyList()
    }

    private fun giveUp(claim: OpenClaim): List<Outbound> {
        claim.decided = true
        claims.remove(claim.message.claim)
        val held = claim.refusals.values.filter { it.reason == KeyRefusalReason.HELD }
        val decision = if (held.isEmpty()) notGranted(claim) else alreadyUsed(held)
        claim.onDecision(decision)
        // A witness whose grant was lost, or is still to come, must not keep the key for a claim that never runs.
        return toWitnesses(claim, KeyRelease(claim.message.keyHash, claim.message.claim))
    }

    private fun alreadyUsed(held: List<KeyRefusal>): KeyDecision {
        counters = counters.copy(alreadyUsed = counters.alreadyUsed + 1)
        val status = held.firstNotNullOfOrNull { it.status }
        // The holder may yet release the key; one that completed will not.
        val retryAfterMs = if (status == null) DEFAULT_RETRY_AFTER_MS else 0
        return KeyDecision.Refused(ResultCode.KEY_ALREADY_USED, retryAfterMs, status)
    }

    private fun notGranted(claim: OpenClaim): KeyDecision {
        counters = counters.copy(notGranted = counters.notGranted + 1)
        // Two witnesses are enough, so the second longest wait decides.
        val waits = claim.refusals.values.map { it.retryAfterMs }.sortedDescending()
        val retryAfterMs = maxOf(waits.getOrElse(1) { 0 }, DEFAULT_RETRY_AFTER_MS)
        return KeyDecision.Refused(ResultCode.KEY_NOT_GRANTED, retryAfterMs)
    }

    private fun resend(claim: OpenClaim): List<Outbound> {
        claim.resent = true
        counters = counters.copy(resent = counters.resent + 1)
        return claim.slots
            .filter { it !in claim.grants && it !in claim.refusals }
            .map { Outbound(it, claim.message) }
    }

    private fun toWitnesses(
        claim: OpenClaim,
        message: KeyMessage,
    ): List<Outbound> = claim.slots.map { Outbound(it, message) }

    private class OpenClaim(
        val message: KeyClaim,
        val sentAt: Duration,
        val lastStart: Duration,
        val forgetAt: Duration,
        val onDecision: (KeyDecision) -> Unit,
    ) {
        val slots = message.witnesses.filterNotNull()
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
