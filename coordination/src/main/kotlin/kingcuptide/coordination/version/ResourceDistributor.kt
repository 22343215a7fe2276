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
 * Fetches, validates, stages, puts in force and relays the versions of one resource.
 *
 * A version is *staged* once its content is received and validated. It is put in force when enough witnesses have it,
 * or after the commit wait. Only versions in force are relayed. Not thread-safe.
 *
 * @property witnessed whether versions of this resource wait for witnesses
 */
internal class ResourceDistributor<T>(
    val kind: ResourceKind,
    private val witnessed: Boolean,
    val holder: VersionHolder<T>,
    private val clock: Clock,
    private val random: Random,
    fleet: FleetView,
    roles: DistributionRoles,
    private val settings: VersionSettings,
    codec: PayloadCodec,
    sendBudget: TokenBucket,
    private val counters: VersionCounters,
) {
    private val staged = ArrayDeque<Staged<T>>()
    private val fetch = ContentFetch(kind, clock, fleet, settings, counters)
    private val sender = PayloadSender(kind, codec, random, sendBudget, counters)
    private val plan = RelayPlan(fleet, roles, settings.platformRegion, settings.treeFanOut)
    private val tracker = WitnessTracker(fleet, roles, settings)
    private val confirmations = Confirmations()
    private val decoder = codec
    private val pendingAckHosts = LinkedHashSet<HostId>()
    private var mayPutInForce = false

    /** The newest content that this daemon has, in force or staged. */
    val newest: ResourceContent?
        get() = staged.lastOrNull()?.checked?.content ?: holder.current?.content

    /** The greatest version number that this daemon has or has rejected. */
    val maxNumber: Long?
        get() = listOfNotNull(newest?.version?.number, holder.rejected.maxOfOrNull { it.version.number }).maxOrNull()

    /** Whether a peer is known to have a newer version. */
    val isBehind: Boolean
        get() = fetch.isBehind

    /** Time since the source confirmed that nothing is newer than the version in force; null if it never did. */
    fun confirmedAge(): Duration? = holder.current?.let { confirmations.timeOf(it.version) }?.let { clock.now() - it }

    /** The version in force as it is offered to peers, or null if there is none. */
    fun offered(): OfferedVersion? = holder.current?.let { describe(it.version, withHolders = false) }

    /** The newest version, in force or staged, as it is offered to peers, or null if there is none. */
    fun newestOffered(): OfferedVersion? = newest?.let { describe(it.version, withHolders = false) }

    /**
     * Allows versions to be put in force; until then they are only staged.
     *
     * Drops all staged versions but the newest, because an earlier run on this host may have served that one.
     */
    fun allowInForce(): List<Outbound> {
        if (mayPutInForce) return emptyList()
        mayPutInForce = true
        while (staged.size > 1) staged.removeFirst()
        val now = clock.now()
        staged.replaceAll { it.copy(stagedAt = now, requestAcksAt = now) }
        return advance()
    }

    /** Handles [content] that was read from the source, where it was the newest at [confirmedAt]. */
    fun fromSource(content: ResourceContent, confirmedAt: Duration): Result<List<Outbound>, ResultCode> =
        accept(content, clock.now(), isOrigin = true).onSuccess { confirm(content.version, confirmedAt) }

    /** Records that the source had no newer version than [version] at [confirmedAt]. */
    fun confirm(version: ResourceVersion, confirmedAt: Duration) = confirmations.record(version, confirmedAt)

    /**
     * Handles the offer of a version that [from] has; [acknowledge] is whether it asks for an acknowledgement.
     *
     * [trustAge] is false if the message may have waited during a pause of this process, so that its age is too low.
     */
    fun receiveOffer(from: HostId, item: OfferedVersion, acknowledge: Boolean, trustAge: Boolean): List<Outbound> {
        recordHolders(from, item)
        val own = newest?.version
        if (trustAge && own != null && item.version.number >= own.number) recordAge(item)
        return when {
            holder.isRejected(item.version) -> emptyList()
            own == null || item.version.number > own.number -> recordNewer(from, item.version, acknowledge)
            item.version == own -> {
                if (!acknowledge) requestAcksAtOnce()
                ackIfRequested(from, own, acknowledge) + advance()
            }
            item.version.number == own.number -> countConflict()
            acknowledge -> ackIfRequested(from, own, true)
            else -> listOfNotNull(offered()).map { Outbound(from, VersionOffer(listOf(it))) }
        }
    }

    /** Handles the acknowledgement of [from] that it has [version]. */
    fun receiveAck(from: HostId, version: ResourceVersion): List<Outbound> {
        tracker.record(from, version)
        return advance()
    }

    /** Handles a payload request of [from]; returns the newest content, or that this daemon is busy. */
    fun receivePayloadRequest(from: HostId, message: PayloadRequest): List<Outbound> =
        newest?.let { sender.reply(from, message, it) { version -> describe(version) } }.orEmpty()

    /** Handles the busy reply of [from]: requests the content from another peer, or later from the same one. */
    fun receiveBusy(from: HostId, message: SenderBusy): List<Outbound> {
        fetch.busyReceived(from, message.retryAfterMs)
        return requestNext()
    }

    /** Handles a content that [from] sent; it is used only if it has the digest of the version that it names. */
    fun receivePayload(from: HostId, message: VersionPayload, trustAge: Boolean): List<Outbound> {
        fetch.payloadReceived(from)
        val own = newest?.version?.number
        if (own != null && message.offered.version.number <= own) return requestNext()
        return decode(message).fold(
            success = { applyPayload(from, message.offered, it, trustAge) },
            failure = { rejectPayload(from, it) },
        )
    }

    /** Retries requests that have timed out, and puts in force the staged version whose commit wait has ended. */
    fun tick(): List<Outbound> {
        fetch.expire()
        return requestNext() + advance()
    }

    private fun applyPayload(
        from: HostId,
        item: OfferedVersion,
        content: ResourceContent,
        trustAge: Boolean,
    ): List<Outbound> {
        if (content.version != item.version) return rejectPayload(from, ResultCode.DELTA_DIGEST_MISMATCH)
        recordHolders(from, item)
        if (trustAge) recordAge(item)
        val requestAcksAt = if (pendingAckHosts.isEmpty()) {
            clock.now()
        } else {
            clock.now() +
                ACK_REQUEST_DELAY * (1 + random.nextDouble())
        }
        return accept(content, requestAcksAt, isOrigin = false).fold(success = { it }, failure = { emptyList() }) +
            requestNext()
    }

    private fun rejectPayload(from: HostId, code: ResultCode): List<Outbound> {
        if (code == ResultCode.DELTA_BASE_UNKNOWN) {
            counters.count(VersionEvent.BASE_UNKNOWN)
        } else {
            counters.count(VersionEvent.BAD_PAYLOAD)
            fetch.forget(from)
        }
        return fetch.requestNext(base = null)
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
        requestAcksAt: Duration,
        isOrigin: Boolean,
    ): Result<List<Outbound>, ResultCode> {
        stagedRefusal(content.version)?.let { return refuse(it) }
        if (content.version == newest?.version) return Ok(emptyList())
        return holder.check(content).fold(
            success = { Ok(stage(it, requestAcksAt, isOrigin)) },
            failure = { refuse(it) },
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

    private fun refuse(code: ResultCode): Result<List<Outbound>, ResultCode> {
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

    private fun stage(checked: InForce<T>, requestAcksAt: Duration, isOrigin: Boolean): List<Outbound> {
        newest?.let { sender.recordDelta(it, checked.content) }
        staged.addLast(Staged(checked, clock.now(), requestAcksAt, isOrigin))
        if (staged.size > MAX_STAGED_VERSIONS) staged.removeAt(1)
        pruneOffers()
        val acks = pendingAckHosts.map { Outbound(it, VersionAck(kind, checked.version)) }
        pendingAckHosts.clear()
        return acks + advance()
    }

    private fun advance(): List<Outbound> {
        val oldest = staged.firstOrNull() ?: return emptyList()
        if (!mayPutInForce) return emptyList()
        staged.lastOrNull { isWitnessed(it) }?.let { return putInForce(it, isWitnessed = true) }
        val isOverdue = clock.now() - oldest.stagedAt >= settings.commitWait
        if (isOverdue || tracker.verdict(oldest.checked.version) == WitnessVerdict.ALL_REACHABLE) {
            return putInForce(oldest, isWitnessed = false)
        }
        return requestAcks()
    }

    private fun isWitnessed(candidate: Staged<T>): Boolean =
        !witnessed || tracker.verdict(candidate.checked.version) == WitnessVerdict.ENOUGH

    /** Requests acknowledgements at once: the version is in force elsewhere, and only witnesses are missing here. */
    private fun requestAcksAtOnce() {
        val candidate = staged.lastOrNull() ?: return
        if (!candidate.hasRequestedAcks) staged[staged.lastIndex] = candidate.copy(requestAcksAt = clock.now())
    }

    private fun requestAcks(): List<Outbound> {
        val now = clock.now()
        val candidate = staged.last()
        if (now < candidate.requestAcksAt) return emptyList()
        staged[staged.lastIndex] = candidate.copy(
            requestAcksAt = now + ACK_RETRY_INTERVAL * (1 + random.nextDouble()),
            hasRequestedAcks = true,
        )
        val offer = VersionOffer(listOf(describe(candidate.checked.version)), acknowledge = true)
        return tracker.witnessesWithout(candidate.checked.version).map { Outbound(it.host, offer) }
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
        return plan.recipients(version, isOrigin).map { Outbound(it, offer) }
    }

    private fun recordNewer(from: HostId, version: ResourceVersion, acknowledge: Boolean): List<Outbound> {
        fetch.record(from, version)
        if (acknowledge && pendingAckHosts.size < MAX_PENDING_ACK_HOSTS) pendingAckHosts += from
        return requestNext()
    }

    private fun requestNext(): List<Outbound> = fetch.requestNext(newest?.version)

    private fun pruneOffers() {
        val number = newest?.version?.number
        fetch.retain { (number == null || it.number > number) && !holder.isRejected(it) }
    }

    private fun ackIfRequested(from: HostId, own: ResourceVersion, acknowledge: Boolean): List<Outbound> =
        if (acknowledge) listOf(Outbound(from, VersionAck(kind, own))) else emptyList()

    private fun countConflict(): List<Outbound> {
        counters.count(VersionEvent.VERSION_CONFLICT)
        return emptyList()
    }

    private fun recordHolders(from: HostId, item: OfferedVersion) {
        tracker.record(from, item.version)
        item.holders.take(MAX_HOLDERS).forEach { tracker.record(it, item.version) }
    }

    private fun recordAge(item: OfferedVersion) {
        val age = item.confirmedAgeMs ?: return
        if (age >= 0) confirmations.record(item.version, clock.now() - age.milliseconds)
    }

    private fun describe(version: ResourceVersion, withHolders: Boolean = witnessed): OfferedVersion =
        OfferedVersion(
            kind = kind,
            version = version,
            confirmedAgeMs = confirmations.timeOf(version)?.let { (clock.now() - it).inWholeMilliseconds },
            holders = if (withHolders) tracker.holders(version).take(MAX_HOLDERS).map { it.host } else emptyList(),
        )

    private data class Staged<T>(
        val checked: InForce<T>,
        val stagedAt: Duration,
        val requestAcksAt: Duration,
        val isOrigin: Boolean,
        val hasRequestedAcks: Boolean = false,
    )

    private companion object {
        /** Minimum delay until acknowledgements are requested, if another daemon already requests them. */
        val ACK_REQUEST_DELAY = 200.milliseconds
        val ACK_RETRY_INTERVAL = 200.milliseconds
        const val MAX_STAGED_VERSIONS = 3
        const val MAX_PENDING_ACK_HOSTS = 32
        const val MAX_HOLDERS = 4
    }
}
