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
 * Distributes the document and the host list: from the platform to the readers, and from daemon to daemon.
 *
 * The daemon passes in messages, the outcomes of platform calls and a tick every 50 to 100 ms, all from one coroutine,
 * and sends what is returned. After each of them it makes the calls that [takeSourceEffects] returns. [document],
 * [hostList], [canAcceptWork] and [counters] may be read from any thread.
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
    /** Counts of refusals, retries and other events. */
    public val counters: VersionCounters = VersionCounters()

    /** The document in force. */
    public val document: VersionHolder<D> = VersionHolder(validateDocument)

    /** The host list in force. */
    public val hostList: VersionHolder<HostList> = VersionHolder(validateHostList)

    private val startedAt = clock.now()
    private val roles = SpreadRoles(fleet, settings)
    private val sendBudget =
        TokenBucket(clock, settings.payloadBytesPerSecond.toDouble(), settings.payloadBytesPerSecond / 2.0)
    private val sourceBudget =
        TokenBucket(clock, sourceRate(settings.expectedHosts), sourceBurst(settings.expectedHosts))
    private val documents = spread(ResourceKind.DOCUMENT, true, document, codec)
    private val hostLists = spread(ResourceKind.HOST_LIST, false, hostList, codec)
    private val spreads = listOf<ResourceSpread<*>>(hostLists, documents)
    private val readers = spreads.associate { it.kind to reader(it.kind) }
    private val join = JoinQuorum(clock, roles, settings, counters)
    private val awake = PauseLease(clock, settings)
    private val effects = ArrayDeque<SourceEffect>()
    private var calls = 0L
    private var nonce = random.nextLong()
    private var nextQueryAt = clock.now()
    private var queryInterval = FIRST_QUERY_INTERVAL
    private val antiEntropy = AntiEntropy(clock, random, fleet, roles, settings)
    private val documentReadAt = clock.now() + FIRST_READ_DELAY * (1 + 2 * random.nextDouble())
    private var awakeTarget: Long? = null
    private var hasAwakeAnswer = false

    init {
        hostLists.allowInForce()
    }

    /** Whether requests may be taken: this daemon has joined, holds a document, and was not paused. Thread-safe. */
    public fun canAcceptWork(): Boolean = isJoined && document.current != null && awake.isAwake()

    /** Whether this daemon has made sure of the newest version since its start. Thread-safe. */
    @Volatile
    public var isJoined: Boolean = false
        private set

    /** Whether this daemon has joined without the answers of enough witnesses. Thread-safe. */
    @Volatile
    public var isJoinUnwitnessed: Boolean = false
        private set

    /** Whether this daemon keeps a watch at the platform for the next version of [kind]. */
    public fun isReader(kind: ResourceKind): Boolean = roles.isReader(kind, spreadOf(kind).newest?.version?.number)

    /** Whether this daemon is a witness of its failure domain. */
    public val isWitness: Boolean
        get() = roles.isWitness()

    /** Number of the newest version of [kind] whose bytes are held, in force or not; null if there is none. */
    public fun newestNumber(kind: ResourceKind): Long? = spreadOf(kind).newest?.version?.number

    /** Time since the source confirmed that nothing is newer than the version in force; null if it never did. */
    public fun confirmedAge(kind: ResourceKind): Duration? = spreadOf(kind).confirmedAge()

    /** Whether the knowledge of [kind] is older than the stale bound. Service goes on; the operator is told. */
    public fun isStale(kind: ResourceKind): Boolean =
        (confirmedAge(kind) ?: (clock.now() - startedAt)) > settings.staleAfter

    /** Returns the platform calls to make, and forgets them. */
    public fun takeSourceEffects(): List<SourceEffect> {
        val taken = effects.toList()
        effects.clear()
        return taken
    }

    /** Handles [message] of the daemon on [from]. */
    public fun receive(from: HostId, message: VersionMessage): List<Outbound> {
        val recovery = notePause()
        val isAgeTrusted = awake.pausedSince == null
        return recovery + when (message) {
            is VersionOffer -> receiveOffer(from, message, isAgeTrusted)
            is PayloadRequest -> spreadOf(message.kind).receiveWant(from, message)
            is VersionPayload -> spreadOf(message.offered.kind).receivePayload(from, message, isAgeTrusted)
            is SenderBusy -> spreadOf(message.kind).receiveBusy(from, message)
            is VersionAck -> spreadOf(message.kind).receiveHeld(from, message.version)
            is VersionQuery -> answer(from, message)
            is VersionReply -> receiveAnswer(from, message)
        } + advanceJoin()
    }

    /** Handles the [outcome] of the platform call [call] for [kind]. */
    public fun sourceOutcome(call: Long, kind: ResourceKind, outcome: SourceOutcome): List<Outbound> {
        val recovery = notePause()
        val confirmedAt = readers.getValue(kind).ended(call, outcome)
        val messages =
            when (outcome) {
                is SourceOutcome.Changed -> changed(kind, outcome.content, confirmedAt)
                is SourceOutcome.Unchanged -> unchanged(kind, outcome.number, confirmedAt)
                is SourceOutcome.Failed -> emptyList()
            }
        return recovery + messages + advanceJoin()
    }

    /** Does what is due: repeats, offers, platform calls. */
    public fun tick(): List<Outbound> =
        notePause() + spreads.flatMap { it.tick() } + advanceJoin() + query() + exchange().also { callSource() }

    private fun receiveOffer(from: HostId, offer: VersionOffer, isAgeTrusted: Boolean): List<Outbound> =
        offer.offered.take(MAX_OFFERED).flatMap {
            if (it.kind == ResourceKind.DOCUMENT && !offer.acknowledge) join.noteSeen(it.version.number)
            spreadOf(it.kind).receiveOffer(from, it, offer.acknowledge, isAgeTrusted)
        }

    private fun changed(kind: ResourceKind, content: ResourceContent, confirmedAt: Duration?): List<Outbound> {
        if (content.kind != kind) return pauseReader(kind)
        return spreadOf(kind).fromSource(content, confirmedAt ?: startedAt).fold(
            success = { it },
            failure = { code ->
                val isOld = code == ResultCode.VERSION_FELL || code == ResultCode.VERSION_CONFLICT
                if (isOld) pauseReader(kind) else emptyList()
            },
        )
    }

    private fun unchanged(kind: ResourceKind, number: Long?, confirmedAt: Duration?): List<Outbound> {
        val spread = spreadOf(kind)
        val greatest = spread.greatestNumber
        if (number != null && greatest != null && number < greatest) {
            counters.count(VersionEvent.VERSION_FELL)
            return pauseReader(kind)
        }
        val newest = spread.newest ?: return pauseReader(kind)
        if (confirmedAt != null) spread.confirm(newest.version, confirmedAt)
        return emptyList()
    }

    private fun pauseReader(kind: ResourceKind): List<Outbound> {
        readers.getValue(kind).pause()
        return emptyList()
    }

    private fun callSource() {
        val hosts = maxOf(fleet.hostList.hosts.size, settings.expectedHosts)
        sourceBudget.resize(sourceRate(hosts), sourceBurst(hosts))
        for (spread in spreads) {
            if (spread === documents && !mayReadDocument()) continue
            val age = spread.confirmedAge() ?: (clock.now() - startedAt)
            readers.getValue(spread.kind).tick(isReader(spread.kind), spread.greatestNumber, age) { ++calls }?.let {
                effects +=
                    it
            }
        }
    }

    private fun notePause(): List<Outbound> {
        if (!awake.step()) return emptyList()
        counters.count(VersionEvent.PAUSE_FOUND)
        hasAwakeAnswer = false
        awakeTarget = null
        join.restart()
        restartQueries()
        return query()
    }

    private fun query(): List<Outbound> {
        val isRecovering = awake.pausedSince != null
        if (isRecovering) advanceRecovery()
        if (join.isJoined && awake.pausedSince == null) return emptyList()
        val now = clock.now()
        if (now < nextQueryAt) return emptyList()
        nextQueryAt = now + queryInterval * (1 + random.nextDouble() / 2)
        queryInterval = (queryInterval * 2).coerceAtMost(MAX_QUERY_INTERVAL)
        val query = VersionQuery(nonce, join.seenNumber)
        return queryTargets().map { Outbound(it, query) }
    }

    private fun queryTargets(): Set<HostId> {
        val witnesses = if (join.isJoined) {
            roles.witnesses().map {
                it.host
            }.shuffled(random).take(AWAKE_WITNESSES)
        } else {
            join.unanswered()
        }
        val others = roles.others()
        val strangers = List(if (others.isEmpty()) 0 else QUERIED_STRANGERS) { others.random(random).host }
        return LinkedHashSet(witnesses) + strangers
    }

    private fun answer(from: HostId, query: VersionQuery): List<Outbound> {
        join.noteSeen(query.seenNumber)
        val isSure = join.isJoined && awake.pausedSince == null
        val offered = spreads.mapNotNull { it.held() }
        val seenNumber = listOfNotNull(join.seenNumber, newestNumber(ResourceKind.DOCUMENT)).maxOrNull()
        return listOf(Outbound(from, VersionReply(query.nonce, isSure, seenNumber, offered)))
    }

    private fun receiveAnswer(from: HostId, answer: VersionReply): List<Outbound> {
        val isCurrent = answer.nonce == nonce
        if (!isCurrent) counters.count(VersionEvent.LATE_ANSWER_DROPPED)
        join.noteSeen(answer.seenNumber)
        val messages =
            answer.offered.take(MAX_OFFERED).flatMap {
                spreadOf(it.kind).receiveOffer(from, it, acknowledge = false, isCurrent)
            }
        if (isCurrent && answer.joined) {
            join.noteAnswer(from)
            noteAwakeAnswer(answer.seenNumber)
        }
        return messages
    }

    private fun noteAwakeAnswer(number: Long?) {
        if (awake.pausedSince == null) return
        hasAwakeAnswer = true
        awakeTarget = listOfNotNull(awakeTarget, number).maxOrNull()
        advanceRecovery()
    }

    private fun advanceRecovery() {
        val since = awake.pausedSince ?: return
        val isCaughtUp = hasAwakeAnswer && (document.current?.version?.number ?: 0) >= (awakeTarget ?: 0)
        val isOverdue = clock.now() - since >= settings.awakeWait
        if (!isCaughtUp && !isOverdue) return
        if (!isCaughtUp) counters.count(VersionEvent.AWOKE_UNCONFIRMED)
        awake.recovered()
    }

    private fun advanceJoin(): List<Outbound> {
        if (awake.pausedSince != null) advanceRecovery()
        if (join.isJoined) {
            join.noteSeen(document.current?.version?.number)
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

    private fun exchange(): List<Outbound> {
        if (!join.isJoined) return emptyList()
        val offered = spreads.mapNotNull { it.offered() }
        if (offered.isEmpty()) return emptyList()
        return antiEntropy.duePeers().map { Outbound(it, VersionOffer(offered)) }
    }

    private fun mayReadDocument(): Boolean {
        if (documents.newest != null) return true
        val isFar = fleet.self.region != settings.platformRegion
        return clock.now() >= documentReadAt + if (isFar) FAR_READ_DELAY else Duration.ZERO
    }

    private fun spreadOf(kind: ResourceKind): ResourceSpread<*> =
        when (kind) {
            ResourceKind.DOCUMENT -> documents
            ResourceKind.HOST_LIST -> hostLists
        }

    private fun <T> spread(kind: ResourceKind, witnessed: Boolean, holder: VersionHolder<T>, codec: PayloadCodec) =
        ResourceSpread(kind, witnessed, holder, clock, random, fleet, roles, settings, codec, sendBudget, counters)

    private fun reader(kind: ResourceKind) = SourceReader(kind, clock, random, settings, sourceBudget, counters)

    private fun sourceRate(hosts: Int): Double = settings.sourceCallsPerSecond * BUDGET_SHARE / hosts

    private fun sourceBurst(hosts: Int): Double = sourceRate(hosts).coerceAtLeast(1.0)

    private companion object {
        val FIRST_QUERY_INTERVAL = 200.milliseconds
        val MAX_QUERY_INTERVAL = 1_000.milliseconds
        val FIRST_READ_DELAY = 500.milliseconds
        val FAR_READ_DELAY = 1_500.milliseconds
        const val AWAKE_WITNESSES = 3
        const val QUERIED_STRANGERS = 2
        const val MAX_OFFERED = 4
        const val BUDGET_SHARE = 0.4
    }
}

/**
 * Returns the distribution of versions for one daemon.
 *
 * @param validateDocument turns a content into a document, or names all its faults
 * @param validateHostList does the same for the host list
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
