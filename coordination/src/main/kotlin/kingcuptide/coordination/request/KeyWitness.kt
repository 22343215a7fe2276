package kingcuptide.coordination.request

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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stores which claim may run a key, for those keys of which this daemon is a witness. Thread-safe.
 *
 * The records are in memory only and lost with the process. That is safe because a witness that could have lost a claim
 * grants nothing until every such claim has expired.
 */
public class KeyWitness internal constructor(
    self: HostId,
    private val clock: Clock,
    private val settings: KeySettings,
    private val rules: KeyRules = keyRules(settings),
) {
    // In order of insertion, which is almost the order of expiry.
    private val records = LinkedHashMap<String, Record>()
    private val history = ViewHistory(self, rules.holdOff)
    private var confirmedAt: Duration? = null
    private var granted = 0L
    private var completed = 0L
    private var released = 0L
    private val refused = LongArray(KeyRefusalReason.entries.size)

    /**
     * Sets the newest [view]. Call it when the host list or the document changes, and whenever the view was confirmed,
     * that is compared with a peer of the same failure domain or with the platform and found to be the newest.
     *
     * If the view was not confirmed for longer than [KeySettings.viewFreshness], the hold-off starts again: this host
     * may have missed a view under which another host was the witness and granted claims.
     */
    @Synchronized
    public fun confirm(view: WitnessView) {
        val now = clock.now()
        if (rules.resetsAfterGap && !isConfirmed(now)) {
            history.clear()
        }
        history.update(view, now)
        confirmedAt = now
    }

    /** Handles a message from the gate on [from] and returns the reply, if there is one. */
    @Synchronized
    public fun receive(
        from: HostId,
        message: KeyMessage,
    ): List<Outbound> = when (message) {
        is KeyClaim -> listOf(Outbound(from, claim(message)))
        is KeyCompleted -> complete(message)
        is KeyRelease -> release(message)
        is KeyGrant, is KeyRefusal -> emptyList()
    }

    /** Removes expired claims. */
    @Synchronized
    public fun tick() {
        val now = clock.now()
        val oldest = records.values.iterator()
        while (oldest.hasNext() && oldest.next().expiry <= now) {
            oldest.remove()
        }
    }

    /** Returns a snapshot of the counters. */
    @Synchronized
    public fun counters(): KeyWitnessCounters = KeyWitnessCounters(
        granted = granted,
        refused = KeyRefusalReason.entries.associateWith { refused[it.ordinal] },
        completed = completed,
        released = released,
        records = records.size,
    )

    private fun claim(message: KeyClaim): KeyMessage {
        val now = clock.now()
        val record = records[message.keyHash]?.takeIf { it.expiry > now }
        return when {
            record == null || record.isFreeFor(message.claim) -> claimFreeKey(message, now)
            record.claim != message.claim -> refuse(message, KeyRefusalReason.HELD, status = record.status)
            record.state == RecordState.RELEASED -> refuse(message, KeyRefusalReason.INVALID)
            else -> grant(message)
        }
    }

    private fun claimFreeKey(
        message: KeyClaim,
        now: Duration,
    ): KeyMessage {
        val remaining = message.remainingMs.milliseconds
        if (remaining <= Duration.ZERO || remaining > settings.maxRemaining) {
            return refuse(message, KeyRefusalReason.INVALID)
        }
        if (!isConfirmed(now)) {
            return refuse(message, KeyRefusalReason.VIEW_UNCONFIRMED)
        }
        if (rules.checksView && !matchesOwnView(message)) {
            return refuse(message, KeyRefusalReason.VIEW_DIFFERS)
        }
        val responsibleFrom = responsibleSince(message)
            ?: return refuse(message, KeyRefusalReason.VIEW_DIFFERS)
        val remainingHoldOff = rules.holdOff - (now - responsibleFrom)
        if (remainingHoldOff > Duration.ZERO) {
            return refuse(message, KeyRefusalReason.TOO_YOUNG, remainingHoldOff)
        }
        if (!makeRoom(message.keyHash)) {
            return refuse(message, KeyRefusalReason.FULL)
        }
        val expiry = now + settings.maxStartDelay + remaining + settings.resendWindow
        records[message.keyHash] = Record(message.claim, expiry)
        return grant(message)
    }

    private fun isConfirmed(now: Duration): Boolean {
        val confirmed = confirmedAt ?: return false
        return !rules.checksFreshness || now - confirmed <= settings.viewFreshness
    }

    private fun responsibleSince(message: KeyClaim): Duration? {
        val responsibleFrom = history.responsibleSince(message.keyHash, message.homeRegions)
        return if (rules.checksView) responsibleFrom else history.start
    }

    private fun matchesOwnView(message: KeyClaim): Boolean =
        history.current?.witnesses(message.keyHash, message.homeRegions) == message.witnesses

    private fun makeRoom(keyHash: String): Boolean {
        // Remove the old record first, so that its replacement is inserted at the end.
        records.remove(keyHash)
        if (records.size < settings.maxRecords) {
            return true
        }
        tick()
        return records.size < settings.maxRecords
    }

    private fun complete(message: KeyCompleted): List<Outbound> {
        val record = records[message.keyHash]
        if (record?.claim == message.claim) {
            record.state = RecordState.COMPLETED
            record.status = message.status
            completed++
        }
        return emptyList()
    }

    private fun release(message: KeyRelease): List<Outbound> {
        val record = records[message.keyHash]
        if (record?.claim == message.claim && record.state == RecordState.CLAIMED) {
            record.state = RecordState.RELEASED
            released++
        }
        return emptyList()
    }

    private fun grant(message: KeyClaim): KeyMessage {
        granted++
        return KeyGrant(message.keyHash, message.claim)
    }

    private fun refuse(
        message: KeyClaim,
        reason: KeyRefusalReason,
        retryAfter: Duration = Duration.ZERO,
        status: Int? = null,
    ): KeyMessage {
        refused[reason.ordinal]++
        return KeyRefusal(message.keyHash, message.claim, reason, retryAfter.inWholeMilliseconds, status)
    }

    private enum class RecordState {
        CLAIMED,
        COMPLETED,
        RELEASED,
    }

    private class Record(
        val claim: ClaimId,
        val expiry: Duration,
    ) {
        var state = RecordState.CLAIMED
        var status: Int? = null

        fun isFreeFor(other: ClaimId): Boolean = state == RecordState.RELEASED && claim != other
    }
}

/** Returns the witness of [self], without records and views. */
public fun keyWitness(
    self: HostId,
    clock: Clock,
    settings: KeySettings = KeySettings(),
): KeyWitness = KeyWitness(self, clock, settings)
