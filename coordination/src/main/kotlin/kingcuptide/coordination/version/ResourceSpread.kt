package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onSuccess
import kingcuptide.coordination.connection.OfferedVersion
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.PayloadRequest
import kingcuptide.coordination.connection.SenderBusy
import kingcuptide.coordination.connection.VersionAck
import kingcuptide.coordination.connection.VersionOffer
import kingcuptide.coordination.connection.VersionPayload
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Fetches, checks, stages, puts in force and relays the versions of one resource.
 *
 * A version is *staged* once its bytes are held and checked; it goes in force when enough witnesses hold it, or after
 * the commit wait. Only versions in force are relayed. Not thread-safe.
 *
 * @property witnessed whether versions of this resource wait for witnesses
 */
internal class ResourceSpread<T>(
    val kind: ResourceKind,
    private val witnessed: Boolean,
    val holder: VersionHolder<T>,
    private val clock: Clock,
    private val random: Random,
    fleet: FleetView,
    roles: SpreadRoles,
    private val settings: VersionSettings,
    codec: PayloadCodec,
    sendBudget: TokenBucket,
    private val counters: VersionCounters,
) {
    private val staged = ArrayDeque<Staged<T>>()
    private val fetch = ContentFetch(kind, clock, fleet, settings, counters)
    private val sender = PayloadSender(kind, codec, random, sendBudget, counters)
    private val plan = RelayPlan(fleet, roles, settings.platformRegion, settings.treeFanOut)
    private val ledger = WitnessTracker(fleet, roles, settings)
    private val confirmations = Confirmations()
    private val decoder = codec
    private val acknowledgeTo = LinkedHashSet<HostId>()
    private var mayPutInForce = false

    /** The newest content that is held, in force or staged. */
    val newest: ResourceContent?
        get() = staged.lastOrNull()?.checked?.content ?: holder.current?.content

    /** The greatest number that is held or refused. */
    val greatestNumber: Long?
        get() = listOfNotNull(newest?.version?.number, holder.rejected.maxOfOrNull { it.version.number }).maxOrNull()

    /** Whether a peer is known to hold a newer version. */
    val isBehind: Boolean
        get() = fetch.isBehind

    /** Time since the source confirmed that nothing is newer than the version in force; null if it never did. */
    fun confirmedAge(): Duration? = holder.current?.let { confirmations.of(it.version) }?.let { clock.now() - it }

    /** The version in force as it is named to peers, or null if there is none. */
    fun offered(): OfferedVersion? = holder.current?.let { describe(it.version, withHolders = false) }

    /** The newest version that is held, as it is named to peers, or null if there is none. */
    fun held(): OfferedVersion? = newest?.let { describe(it.version, withHolders = false) }

    /**
     * Allows versions to go in force; until then they are only staged.
     *
     * Only the newest staged version may go in force, because an earlier run on this host may have served it.
     */
    fun allowInForce(): List<Outbound> {
        if (mayPutInForce) return emptyList()
        mayPutInForce = true
        while (staged.size > 1) staged.removeFirst()
        val now = clock.now()
        staged.replaceAll { it.copy(since = now, collectAt = now) }
        return advance()
    }

    /** Takes [content] that the source gave; [confirmedAt] is when it was the newest there. */
    fun fromSource(content: ResourceContent, confirmedAt: Duration): Result<List<Outbound>, ResultCode> =
        accept(content, clock.now(), isOrigin = true).onSuccess { confirm(content.version, confirmedAt) }

    /** Notes that the source has nothing newer than [version] at [confirmedAt]. */
    fun confirm(version: ResourceVersion, confirmedAt: Duration) = confirmations.note(version, confirmedAt)

    /** Handles a version that [from] holds. [trustAge] is whether the message has not waited while this process slept. */
    fun receiveOffer(from: HostId, item: OfferedVersion, acknowledge: Boolean, trustAge: Boolean): List<Outbound> {
        noteHolders(from, item)
        val own = newest?.version
        if (trustAge && own != null && item.version.number >= own.number) noteAge(item)
        return when {
            holder.isRejected(item.version) -> emptyList()
            own == null || item.version.number > own.number -> noteNewer(from, item.version, acknowledge)
            item.version == own -> {
                if (!acknowledge) hastenCollecting()
                acknowledged(from, own, acknowledge) + advance()
            }
            item.version.number == own.number -> conflict()
            acknowledge -> acknowledged(from, own, true)
            else -> listOfNotNull(offered()).map { Outbound(from, VersionOffer(listOf(it))) }
        }
    }

    /** Handles the word of [from] that it holds [version]. */
    fun receiveHeld(from: HostId, version: ResourceVersion): List<Outbound> {
        ledger.note(from, version)
        return advance()
    }

    /** Sends the newest content to [from], which asks for it. */
    fun receiveWant(from: HostId, message: PayloadRequest): List<Outbound> =
        newest?.let { sender.answer(from, message, it) { version -> describe(version) } }.orEmpty()

    /** Asks another peer, or the same one later. */
    fun receiveBusy(from: HostId, message: SenderBusy): List<Outbound> {
        fetch.refused(from, message.retryAfterMs)
        return askNext()
    }

    /** Takes a content that [from] sent, if it is what it claims to be. */
    fun receivePayload(from: HostId, message: VersionPayload, trustAge: Boolean): List<Outbound> {
        fetch.answered(from)
        val own = newest?.version?.number
        if (own != null && message.offered.version.number <= own) return askNext()
        return decode(message).fold(
            success = { takePayload(from, message.offered, it, trustAge) },
            failure = { refusePayload(from, it) },
        )
    }

    /** Repeats what was not answered, and puts in force what has waited long enough. */
    fun tick(): List<Outbound> {
        fetch.expire()
        return askNext() + advance()
    }

    private fun takePayload(
        from: HostId,
        item: OfferedVersion,
        content: ResourceContent,
        trustAge: Boolean,
    ): List<Outbound> {
        if (content.version != item.version) return refusePayload(from, ResultCode.DELTA_DIGEST_MISMATCH)
        noteHolders(from, item)
        if (trustAge) noteAge(item)
        val collectAt = if (acknowledgeTo.isEmpty()) {
            clock.now()
        } else {
            clock.now() +
                COLLECT_DELAY * (1 + random.nextDouble())
        }
        return accept(content, collectAt, isOrigin = false).fold(success = { it }, failure = { emptyList() }) +
            askNext()
    }

    private fun refusePayload(from: HostId, code: ResultCode): List<Outbound> {
        if (code == ResultCode.DELTA_BASE_UNKNOWN) {
            counters.count(VersionEvent.BASE_UNKNOWN)
        } else {
            counters.count(VersionEvent.BAD_PAYLOAD)
            fetch.forget(from)
        }
        return fetch.askNext(base = null)
    }

    private fun decode(message: VersionPayload): Result<ResourceContent, ResultCode> {
        val base = message.base ?: return decoder.decodeWhole(message.bytes)
        val content = contentOf(base) ?: return Err(ResultCode.DELTA_BASE_UNKNOWN)
        return decoder.decodeDelta(content, message.bytes)
    }

    private fun contentOf(version: ResourceVersion): ResourceContent? =
        staged.firstOrNull { it.checked.version == version }?.checked?.content
            ?: holder.current?.content?.takeIf { it.version == version }

    private fun accept(
        content: ResourceContent,
        collectAt: Duration,
        isOrigin: Boolean,
    ): Result<List<Outbound>, ResultCode> {
        stagedRefusal(content.version)?.let { return refused(it) }
        if (content.version == newest?.version) return Ok(emptyList())
        return holder.check(content).fold(
            success = { Ok(stage(it, collectAt, isOrigin)) },
            failure = { refused(it) },
        )
    }

    private fun stagedRefusal(version: ResourceVersion): ResultCode? {
        val own = newest?.version ?: return null
        return when {
            version.number < own.number -> ResultCode.VERSION_FELL
            version.number == own.number && version != own -> ResultCode.VERSION_CONFLICT
            else -> null
        }
    }

    private fun refused(code: ResultCode): Result<List<Outbound>, ResultCode> {
        counters.count(
            when (code) {
                ResultCode.VERSION_FELL -> VersionEvent.VERSION_FELL
                ResultCode.VERSION_CONFLICT -> VersionEvent.VERSION_CONFLICT
                else -> VersionEvent.BAD_VERSION
            },
        )
        pruneOffers()
        return Err(code)
    }

    private fun stage(checked: InForce<T>, collectAt: Duration, isOrigin: Boolean): List<Outbound> {
        newest?.let { sender.noteStep(it, checked.content) }
        staged.addLast(Staged(checked, clock.now(), collectAt, isOrigin))
        if (staged.size > MAX_STAGED) staged.removeAt(1)
        pruneOffers()
        val held = acknowledgeTo.map { Outbound(it, VersionAck(kind, checked.version)) }
        acknowledgeTo.clear()
        return held + advance()
    }

    private fun advance(): List<Outbound> {
        val oldest = staged.firstOrNull() ?: return emptyList()
        if (!mayPutInForce) return emptyList()
        staged.lastOrNull { isWitnessed(it) }?.let { return putInForce(it, isWitnessed = true) }
        val isOverdue = clock.now() - oldest.since >= settings.commitWait
        if (isOverdue || ledger.verdict(oldest.checked.version) == WitnessVerdict.ALL_REACHABLE) {
            return putInForce(oldest, isWitnessed = false)
        }
        return collect()
    }

    private fun isWitnessed(candidate: Staged<T>): Boolean =
        !witnessed || ledger.verdict(candidate.checked.version) == WitnessVerdict.ENOUGH

    /** Collects at once, because the version is in force elsewhere and only witnesses are missing here. */
    private fun hastenCollecting() {
        val candidate = staged.lastOrNull() ?: return
        if (!candidate.hasCollected) staged[staged.lastIndex] = candidate.copy(collectAt = clock.now())
    }

    private fun collect(): List<Outbound> {
        val now = clock.now()
        val candidate = staged.last()
        if (now < candidate.collectAt) return emptyList()
        staged[staged.lastIndex] = candidate.copy(
            collectAt = now + COLLECT_RETRY * (1 + random.nextDouble()),
            hasCollected = true,
        )
        val offer = VersionOffer(listOf(describe(candidate.checked.version)), acknowledge = true)
        return ledger.missing(candidate.checked.version).map { Outbound(it.host, offer) }
    }

    private fun putInForce(candidate: Staged<T>, isWitnessed: Boolean): List<Outbound> {
        staged.removeAll { it.checked.version.number <= candidate.checked.version.number }
        return holder.swap(candidate.checked).fold(
            success = {
                counters.count(VersionEvent.IN_FORCE)
                if (!isWitnessed) counters.count(VersionEvent.UNDER_WITNESSED)
                relay(it.version, candidate.isOrigin) + advance()
            },
            failure = { emptyList() },
        )
    }

    private fun relay(version: ResourceVersion, isOrigin: Boolean): List<Outbound> {
        val offer = VersionOffer(listOf(describe(version)))
        return plan.targets(version, isOrigin).map { Outbound(it, offer) }
    }

    private fun noteNewer(from: HostId, version: ResourceVersion, acknowledge: Boolean): List<Outbound> {
        fetch.note(from, version)
        if (acknowledge && acknowledgeTo.size < MAX_ACKNOWLEDGE) acknowledgeTo += from
        return askNext()
    }

    private fun askNext(): List<Outbound> = fetch.askNext(newest?.version)

    private fun pruneOffers() {
        val number = newest?.version?.number
        fetch.retain { (number == null || it.number > number) && !holder.isRejected(it) }
    }

    private fun acknowledged(from: HostId, own: ResourceVersion, acknowledge: Boolean): List<Outbound> =
        if (acknowledge) listOf(Outbound(from, VersionAck(kind, own))) else emptyList()

    private fun conflict(): List<Outbound> {
        counters.count(VersionEvent.VERSION_CONFLICT)
        return emptyList()
    }

    private fun noteHolders(from: HostId, item: OfferedVersion) {
        ledger.note(from, item.version)
        item.holders.take(MAX_HOLDERS).forEach { ledger.note(it, item.version) }
    }

    private fun noteAge(item: OfferedVersion) {
        val age = item.confirmedAgeMs ?: return
        if (age >= 0) confirmations.note(item.version, clock.now() - age.milliseconds)
    }

    private fun describe(version: ResourceVersion, withHolders: Boolean = witnessed): OfferedVersion =
        OfferedVersion(
            kind = kind,
            version = version,
            confirmedAgeMs = confirmations.of(version)?.let { (clock.now() - it).inWholeMilliseconds },
            holders = if (withHolders) ledger.holding(version).take(MAX_HOLDERS).map { it.host } else emptyList(),
        )

    private data class Staged<T>(
        val checked: InForce<T>,
        val since: Duration,
        val collectAt: Duration,
        val isOrigin: Boolean,
        val hasCollected: Boolean = false,
    )

    private companion object {
        val COLLECT_DELAY = 200.milliseconds
        val COLLECT_RETRY = 200.milliseconds
        const val MAX_STAGED = 3
        const val MAX_ACKNOWLEDGE = 32
        const val MAX_HOLDERS = 4
    }
}
