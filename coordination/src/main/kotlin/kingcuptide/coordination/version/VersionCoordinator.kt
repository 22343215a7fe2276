package kingcuptide.coordination.version

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.PayloadRequest
import kingcuptide.coordination.connection.SenderBusy
import kingcuptide.coordination.connection.VersionAck
import kingcuptide.coordination.connection.VersionMessage
import kingcuptide.coordination.connection.VersionOffer
import kingcuptide.coordination.connection.VersionPayload
import kingcuptide.coordination.connection.VersionQuery
import kingcuptide.coordination.connection.VersionReply
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.ResultCode
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Distributes the document and the host list from the platform to the readers, and from daemon to daemon.
 *
 * The daemon passes in messages, the outcomes of platform calls and a tick every 50 to 100 ms, all from one coroutine,
 * and sends the messages that are returned. After each of them it makes the calls that [takeSourceEffects] returns.
 * [document], [hostList], [canAcceptWork] and [counters] may be read from any thread.
 *
 * @param D type of a validated document
 */
public class VersionCoordinator<D> internal constructor(
    private val clock: Clock,
    private val random: Random,
    private val fleet: FleetView,
    private val settings: VersionSettings,
    codec: PayloadCodec,
    validateDocument: (ResourceContent) -> Result<D, List<ResourceFault>>,
    validateHostList: (ResourceContent) -> Result<HostList, List<ResourceFault>>,
) {
    /** Counters of refusals, retries and other events. */
    public val counters: VersionCounters = VersionCounters()

    /** The document in force. */
    public val document: VersionHolder<D> = VersionHolder(validateDocument)

    /** The host list in force. */
    public val hostList: VersionHolder<HostList> = VersionHolder(validateHostList)

    private val startedAt = clock.now()
    private val roles = DistributionRoles(fleet, settings)
    private val sendBudget =
        TokenBucket(clock, settings.payloadBytesPerSecond.toDouble(), settings.payloadBytesPerSecond / 2.0)
    private val sourceBudget =
        TokenBucket(clock, sourceRate(settings.expectedHosts), sourceBurst(settings.expectedHosts))
    private val documents = distributor(ResourceKind.DOCUMENT, true, document, codec)
    private val hostLists = distributor(ResourceKind.HOST_LIST, false, hostList, codec)
    private val resources = listOf<ResourceDistributor<*>>(hostLists, documents)
    private val readers = resources.associate { it.kind to reader(it.kind) }
    private val join = JoinQuorum(clock, roles, settings, counters)
    private val pauseLease = PauseLease(clock, settings)
    private val effects = ArrayDeque<SourceEffect>()
    private var calls = 0L
    private var nonce = random.nextLong()
    private var nextQueryAt = clock.now()
    private var queryInterval = FIRST_QUERY_INTERVAL
    private val antiEntropy = AntiEntropy(clock, random, fleet, roles, settings)
    private val documentReadAt = clock.now() + FIRST_READ_DELAY * (1 + 2 * random.nextDouble())
    private var recoveryNumber: Long? = null
    private var hasRecoveryReply = false

    init {
        hostLists.allowInForce()
    }

    /** Whether requests may be accepted: this daemon has joined, has a document and was not paused. Thread-safe. */
    public fun canAcceptWork(): Boolean = isJoined && document.current != null && pauseLease.isValid()

    /** Whether this daemon has found the newest version since its start, see [JoinQuorum]. Thread-safe. */
    @Volatile
    public var isJoined: Boolean = false
        private set

    /** Whether this daemon has joined without replies of enough witnesses. Thread-safe. */
    @Volatile
    public var isJoinUnwitnessed: Boolean = false
        private set

    /** Whether this daemon keeps a watch at the platform for the next version of [kind]. */
    public fun isReader(kind: ResourceKind): Boolean = roles.isReader(kind, resourceOf(kind).newest?.version?.number)

    /** Whether this daemon is a witness of its failure domain. */
    public val isWitness: Boolean
        get() = roles.isWitness()

    /** Number of the newest version of [kind], in force or staged; null if there is none. */
    public fun newestNumber(kind: ResourceKind): Long? = resourceOf(kind).newest?.version?.number

    /** Time since the source confirmed that nothing is newer than the version in force; null if it never did. */
    public fun confirmedAge(kind: ResourceKind): Duration? = resourceOf(kind).confirmedAge()

    /** Whether the last confirmation of [kind] is older than the stale bound. Requests are still served. */
    public fun isStale(kind: ResourceKind): Boolean =
        (confirmedAge(kind) ?: (clock.now() - startedAt)) > settings.staleAfter

    /** Removes and returns the pending platform calls. */
    public fun takeSourceEffects(): List<SourceEffect> {
        val taken = effects.toList()
        effects.clear()
        return taken
    }

    /** Handles [message] of the daemon on [from]; returns the messages to send. */
    public fun receive(from: HostId, message: VersionMessage): List<Outbound> {
        val recovery = checkPause()
        val isAgeTrusted = pauseLease.recoveringSince == null
        return recovery + when (message) {
            is VersionOffer -> receiveOffer(from, message, isAgeTrusted)
            is PayloadRequest -> resourceOf(message.kind).receivePayloadRequest(from, message)
            is VersionPayload -> resourceOf(message.offered.kind).receivePayload(from, message, isAgeTrusted)
            is SenderBusy -> resourceOf(message.kind).receiveBusy(from, message)
            is VersionAck -> resourceOf(message.kind).receiveAck(from, message.version)
            is VersionQuery -> reply(from, message)
            is VersionReply -> receiveReply(from, message)
        } + advanceJoin()
    }

    /** Handles the [outcome] of the platform call [call] for [kind]; returns the messages to send. */
    public fun sourceOutcome(call: Long, kind: ResourceKind, outcome: SourceOutcome): List<Outbound> {
        val recovery = checkPause()
        val confirmedAt = readers.getValue(kind).recordOutcome(call, outcome)
        val messages =
            when (outcome) {
                is SourceOutcome.Changed -> contentRead(kind, outcome.content, confirmedAt)
                is SourceOutcome.Unchanged -> unchangedRead(kind, outcome.number, confirmedAt)
                is SourceOutcome.Failed -> emptyList()
            }
        return recovery + messages + advanceJoin()
    }

    /** Runs retries, offers and platform calls that are due; returns the messages to send. */
    public fun tick(): List<Outbound> =
        checkPause() + resources.flatMap { it.tick() } + advanceJoin() + query() + offerToPeers().also { callSource() }

    private fun receiveOffer(from: HostId, offer: VersionOffer, isAgeTrusted: Boolean): List<Outbound> =
        offer.offered.take(MAX_OFFERED_VERSIONS).flatMap {
            if (it.kind == ResourceKind.DOCUMENT && !offer.acknowledge) join.recordSeen(it.version.number)
            resourceOf(it.kind).receiveOffer(from, it, offer.acknowledge, isAgeTrusted)
        }

    private fun contentRead(kind: ResourceKind, content: ResourceContent, confirmedAt: Duration?): List<Outbound> {
        if (content.kind != kind) return backOffReader(kind)
        return resourceOf(kind).fromSource(content, confirmedAt ?: startedAt).fold(
            success = { it },
            failure = { code ->
                val isOld = code == ResultCode.VERSION_FELL || code == ResultCode.VERSION_CONFLICT
                if (isOld) backOffReader(kind) else emptyList()
            },
        )
    }

    private fun unchangedRead(kind: ResourceKind, number: Long?, confirmedAt: Duration?): List<Outbound> {
        val resource = resourceOf(kind)
        val greatest = resource.maxNumber
        if (number != null && greatest != null && number < greatest) {
            counters.count(VersionEvent.VERSION_FELL)
            return backOffReader(kind)
        }
        val newest = resource.newest ?: return backOffReader(kind)
        if (confirmedAt != null) resource.confirm(newest.version, confirmedAt)
        return emptyList()
    }

    private fun backOffReader(kind: ResourceKind): List<Outbound> {
        readers.getValue(kind).backOff()
        return emptyList()
    }

    private fun callSource() {
        val hosts = maxOf(fleet.hostList.hosts.size, settings.expectedHosts)
        sourceBudget.resize(sourceRate(hosts), sourceBurst(hosts))
        for (resource in resources) {
            if (resource === documents && !mayReadDocument()) continue
            val age = resource.confirmedAge() ?: (clock.now() - startedAt)
            readers.getValue(resource.kind).tick(isReader(resource.kind), resource.maxNumber, age) { ++calls }?.let {
                effects +=
                    it
            }
        }
    }

    private fun checkPause(): List<Outbound> {
        if (!pauseLease.renew()) return emptyList()
        counters.count(VersionEvent.PAUSE_FOUND)
        hasRecoveryReply = false
        recoveryNumber = null
        join.restart()
        restartQueries()
        return query()
    }

    private fun query(): List<Outbound> {
        val isRecovering = pauseLease.recoveringSince != null
        if (isRecovering) advanceRecovery()
        if (join.isJoined && pauseLease.recoveringSince == null) return emptyList()
        val now = clock.now()
        if (now < nextQueryAt) return emptyList()
        nextQueryAt = now + queryInterval * (1 + random.nextDouble() / 2)
        queryInterval = (queryInterval * 2).coerceAtMost(MAX_QUERY_INTERVAL)
        val query = VersionQuery(nonce, join.seenNumber)
        return hostsToQuery().map { Outbound(it, query) }
    }

    private fun hostsToQuery(): Set<HostId> {
        val witnesses = if (join.isJoined) {
            roles.witnesses().map {
                it.host
            }.shuffled(random).take(RECOVERY_WITNESSES)
        } else {
            join.pendingWitnesses()
        }
        val others = roles.others()
        val randomHosts = List(if (others.isEmpty()) 0 else QUERIED_RANDOM_HOSTS) { others.random(random).host }
        return LinkedHashSet(witnesses) + randomHosts
    }

    private fun reply(from: HostId, query: VersionQuery): List<Outbound> {
        join.recordSeen(query.seenNumber)
        val isUpToDate = join.isJoined && pauseLease.recoveringSince == null
        val offered = resources.mapNotNull { it.newestOffered() }
        val seenNumber = listOfNotNull(join.seenNumber, newestNumber(ResourceKind.DOCUMENT)).maxOrNull()
        return listOf(Outbound(from, VersionReply(query.nonce, isUpToDate, seenNumber, offered)))
    }

    private fun receiveReply(from: HostId, reply: VersionReply): List<Outbound> {
        val isCurrent = reply.nonce == nonce
        if (!isCurrent) counters.count(VersionEvent.LATE_ANSWER_DROPPED)
        join.recordSeen(reply.seenNumber)
        val messages =
            reply.offered.take(MAX_OFFERED_VERSIONS).flatMap {
                resourceOf(it.kind).receiveOffer(from, it, acknowledge = false, isCurrent)
            }
        if (isCurrent && reply.joined) {
            join.recordReply(from)
            recordRecoveryReply(reply.seenNumber)
        }
        return messages
    }

    private fun recordRecoveryReply(number: Long?) {
        if (pauseLease.recoveringSince == null) return
        hasRecoveryReply = true
        recoveryNumber = listOfNotNull(recoveryNumber, number).maxOrNull()
        advanceRecovery()
    }

    private fun advanceRecovery() {
        val since = pauseLease.recoveringSince ?: return
        val isCaughtUp = hasRecoveryReply && (document.current?.version?.number ?: 0) >= (recoveryNumber ?: 0)
        val isOverdue = clock.now() - since >= settings.recoveryWait
        if (!isCaughtUp && !isOverdue) return
        if (!isCaughtUp) counters.count(VersionEvent.AWOKE_UNCONFIRMED)
        pauseLease.endRecovery()
    }

    private fun advanceJoin(): List<Outbound> {
        if (pauseLease.recoveringSince != null) advanceRecovery()
        if (join.isJoined) {
            join.recordSeen(document.current?.version?.number)
            return emptyList()
        }
        val isHostListNewest = hostList.current != null && !hostLists.isBehind
        if (!join.advance(documents.newest?.version?.number, isHostListNewest)) return emptyList()
        val messages = documents.allowInForce()
        isJoinUnwitnessed = join.isUnwitnessed
        isJoined = true
        return messages
    }

    private fun restartQueries() {
        nonce = random.nextLong()
        nextQueryAt = clock.now()
        queryInterval = FIRST_QUERY_INTERVAL
    }

    private fun offerToPeers(): List<Outbound> {
        if (!join.isJoined) return emptyList()
        val offered = resources.mapNotNull { it.offered() }
        if (offered.isEmpty()) return emptyList()
        return antiEntropy.duePeers().map { Outbound(it, VersionOffer(offered)) }
    }

    private fun mayReadDocument(): Boolean {
        if (documents.newest != null) return true
        val isInOtherRegion = fleet.self.region != settings.platformRegion
        return clock.now() >= documentReadAt + if (isInOtherRegion) OTHER_REGION_READ_DELAY else Duration.ZERO
    }

    private fun resourceOf(kind: ResourceKind): ResourceDistributor<*> =
        when (kind) {
            ResourceKind.DOCUMENT -> documents
            ResourceKind.HOST_LIST -> hostLists
        }

    private fun <T> distributor(kind: ResourceKind, witnessed: Boolean, holder: VersionHolder<T>, codec: PayloadCodec) =
        ResourceDistributor(kind, witnessed, holder, clock, random, fleet, roles, settings, codec, sendBudget, counters)

    private fun reader(kind: ResourceKind) = SourceReader(kind, clock, random, settings, sourceBudget, counters)

    private fun sourceRate(hosts: Int): Double = settings.sourceCallsPerSecond * SOURCE_BUDGET_SHARE / hosts

    private fun sourceBurst(hosts: Int): Double = sourceRate(hosts).coerceAtLeast(1.0)

    private companion object {
        val FIRST_QUERY_INTERVAL = 200.milliseconds
        val MAX_QUERY_INTERVAL = 1_000.milliseconds

        /** Minimum delay of the first read of the document after the start, randomized up to three times as long. */
        val FIRST_READ_DELAY = 500.milliseconds
        val OTHER_REGION_READ_DELAY = 1_500.milliseconds
        const val RECOVERY_WITNESSES = 3
        const val QUERIED_RANDOM_HOSTS = 2
        const val MAX_OFFERED_VERSIONS = 4

        /** Share of [VersionSettings.sourceCallsPerSecond] that the budgets of all daemons add up to. */
        const val SOURCE_BUDGET_SHARE = 0.4
    }
}

/**
 * Creates the coordinator of one daemon.
 *
 * @param validateDocument decodes a content into a document, or returns all its faults
 * @param validateHostList decodes a content into a host list, or returns all its faults
 */
public fun <D> versionCoordinator(
    clock: Clock,
    random: Random,
    fleet: FleetView,
    settings: VersionSettings,
    codec: PayloadCodec,
    validateDocument: (ResourceContent) -> Result<D, List<ResourceFault>>,
    validateHostList: (ResourceContent) -> Result<HostList, List<ResourceFault>>,
): VersionCoordinator<D> =
    VersionCoordinator(clock, random, fleet, settings, codec, validateDocument, validateHostList)
