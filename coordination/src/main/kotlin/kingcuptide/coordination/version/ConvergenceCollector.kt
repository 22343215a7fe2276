package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.connection.ConvergenceMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.StatusAccepted
import kingcuptide.coordination.connection.StatusReply
import kingcuptide.coordination.connection.StatusRequest
import kingcuptide.coordination.connection.StatusRow
import kingcuptide.coordination.connection.StatusSample
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostKeys
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.hostKey
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Creates the collector of the daemon on [FleetView.self]; [localVersion] returns its own version in force.
 */
public fun convergenceCollector(
    settings: ConvergenceSettings,
    fleet: FleetView,
    localVersion: () -> LocalVersion,
    clock: Clock,
    random: Random,
): ConvergenceCollector = ConvergenceCollector(settings, fleet, localVersion, clock, random)

/**
 * Queries the whole fleet for the version in force on each host, and serves the requests of other daemons' queries.
 *
 * Messages are sent only while a query runs. A query is divided into groups of hosts: the leader of a group queries the
 * other hosts of the group and aggregates their replies. If a leader does not reply, the requester queries the hosts of
 * that group itself. Each host is in one group at each level, and only one reply is accepted for a group, so that no
 * host is counted twice.
 *
 * Driven from one coroutine; [counters] may be read from any thread.
 */
public class ConvergenceCollector internal constructor(
    private val settings: ConvergenceSettings,
    private val fleet: FleetView,
    private val localVersion: () -> LocalVersion,
    private val clock: Clock,
    random: Random,
) {
    private val division = HostDivision(settings, fleet::liveness, random)
    private val collections = LinkedHashSet<StatusCollection>()
    private val parts = LinkedHashMap<Int, StatusPart>()
    private val finishedReplies = LinkedHashMap<Requester.Peer, StatusReply>()
    private var nextPartNumber = random.nextInt(0, Int.MAX_VALUE)
    private var runningQuery: Requester.Local? = null
    private var cachedSummary: ConvergenceSummary? = null
    private var cachedAt = Duration.ZERO
    private var keys = HostKeys(fleet.hostList)

    /** Counters since the start. */
    @Volatile
    public var counters: ConvergenceCounters = ConvergenceCounters()
        private set

    /**
     * Queries the fleet and calls [onDone] once with the summary, at the latest after
     * [ConvergenceSettings.totalTimeout].
     *
     * A summary younger than [ConvergenceSettings.cacheDuration] is returned at once, and a running query is shared.
     * Returns [ResultCode.STATUS_QUERIES_FULL] if [MAX_CALLBACKS] callers already share it.
     */
    public fun startQuery(onDone: (ConvergenceSummary) -> Unit): Result<List<Outbound>, ResultCode> {
        val now = clock.now()
        val recent = cachedSummary
        if (recent != null && now - cachedAt < settings.cacheDuration) {
            count { copy(queriesShared = queriesShared + 1) }
            onDone(recent)
            return Ok(emptyList())
        }
        val sharedQuery = runningQuery
        if (sharedQuery != null) return join(sharedQuery, onDone)
        return Ok(startCollection(onDone, now))
    }

    /** Handles a message of the daemon on [from]; returns the messages to send. */
    public fun receive(from: HostId, message: ConvergenceMessage): List<Outbound> {
        val out = mutableListOf<Outbound>()
        when (message) {
            is StatusRequest -> serveRequest(from, message, out)
            is StatusAccepted -> parts[message.part]?.takeIf { it.group.leader.host == from }?.accepted = true
            is StatusReply -> receiveReply(from, message, out)
        }
        return out
    }

    /** Handles timeouts and resends requests; call it every 50 to 100 ms. Returns the messages to send. */
    public fun tick(): List<Outbound> {
        val out = mutableListOf<Outbound>()
        if (collections.isEmpty()) return out
        val now = clock.now()
        collections.filter { it.deadline <= now }.forEach { abandon(it, out) }
        parts.values.toList().forEach { checkTimeout(it, now, out) }
        collections.toList().forEach { finishIfComplete(it, out) }
        return out
    }

    private fun join(local: Requester.Local, onDone: (ConvergenceSummary) -> Unit): Result<List<Outbound>, ResultCode> {
        if (local.callbacks.size >= MAX_CALLBACKS) {
            count { copy(queriesRefused = queriesRefused + 1) }
            return Err(ResultCode.STATUS_QUERIES_FULL)
        }
        count { copy(queriesShared = queriesShared + 1) }
        local.callbacks += onDone
        return Ok(emptyList())
    }

    private fun startCollection(onDone: (ConvergenceSummary) -> Unit, now: Duration): List<Outbound> {
        count { copy(queries = queries + 1) }
        val out = mutableListOf<Outbound>()
        val local = Requester.Local()
        local.callbacks += onDone
        runningQuery = local
        val others = fleet.hostList.hosts.filter { it.host != fleet.self.host }
        collect(StatusCollection(local, others, now, now + settings.totalTimeout), now, out)
        return out
    }

    private fun serveRequest(from: HostId, request: StatusRequest, out: MutableList<Outbound>) {
        count { copy(requestsServed = requestsServed + 1) }
        if (request.hostKeys.isEmpty()) {
            out += Outbound(from, StatusReply(request.part, listOf(ownRow())))
            return
        }
        val requester = Requester.Peer(from, request.part)
        val done = finishedReplies[requester]
        when {
            done != null -> out += Outbound(from, done)
            collections.any { it.requester == requester } -> out += Outbound(from, StatusAccepted(request.part))
            collections.size >= MAX_COLLECTIONS -> count { copy(requestsRefused = requestsRefused + 1) }
            else -> serveGroup(requester, request, out)
        }
    }

    private fun serveGroup(requester: Requester.Peer, request: StatusRequest, out: MutableList<Outbound>) {
        out += Outbound(requester.host, StatusAccepted(request.part))
        val now = clock.now()
        val known = currentKeys()
        val hosts = request.hostKeys.distinct().mapNotNull { known[it] }.filter { it.host != fleet.self.host }
        val budget = request.budgetMs.milliseconds.coerceIn(Duration.ZERO, settings.totalTimeout)
        val collection = StatusCollection(requester, hosts, now, now + budget)
        collection.unresolved += request.hostKeys - hosts.map { hostKey(it.host) }.toSet()
        collect(collection, now, out)
    }

    private fun collect(collection: StatusCollection, now: Duration, out: MutableList<Outbound>) {
        collections += collection
        collection.tally.add(listOf(ownRow()))
        val known = currentKeys()
        val (keyed, unkeyed) = collection.hosts.partition { it in known }
        val groups = division.divide(keyed) + division.singles(unkeyed)
        groups.forEach { sendRequest(collection, it, now, out) }
        finishIfComplete(collection, out)
    }

    private fun sendRequest(collection: StatusCollection, group: HostGroup, now: Duration, out: MutableList<Outbound>) {
        nextPartNumber = (nextPartNumber + 1) and Int.MAX_VALUE
        val part = StatusPart(nextPartNumber, collection, group, now, partDeadline(collection, group, now))
        parts[part.number] = part
        collection.open[part.number] = part
        send(part, now, out)
    }

    private fun partDeadline(collection: StatusCollection, group: HostGroup, now: Duration): Duration {
        val remaining = collection.deadline - now
        if (group.others.isEmpty()) return now + minOf(settings.hostTimeout, remaining)
        return now + remaining * PART_TIME_SHARE
    }

    private fun send(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        count { copy(requestsSent = requestsSent + 1) }
        val budget = (part.deadline - now - REPLY_MARGIN).coerceAtLeast(Duration.ZERO)
        val request = StatusRequest(part.number, budget.inWholeMilliseconds.toInt(), part.keys())
        out += Outbound(part.group.leader.host, request)
    }

    private fun receiveReply(from: HostId, reply: StatusReply, out: MutableList<Outbound>) {
        val part = parts[reply.part]
        if (part == null || part.group.leader.host != from) {
            count { copy(lateReplies = lateReplies + 1) }
            return
        }
        val now = clock.now()
        if (!part.matches(reply)) {
            count { copy(malformedReplies = malformedReplies + 1) }
            takeOver(part, now, out)
            return
        }
        close(part)
        val collection = part.collection
        collection.tally.add(reply.rows)
        collection.tally.addUnreachable(reply.unreachable, reply.unreachableTotal)
        val unresolved = part.group.others.filter { hostKey(it.host) in reply.unresolved }
        division.singles(unresolved).forEach { sendRequest(collection, it, now, out) }
        finishIfComplete(collection, out)
    }

    private fun checkTimeout(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        if (parts[part.number] !== part) return
        val timeout = if (part.isSingleHost) settings.hostTimeout else settings.acceptTimeout
        val waited = now - part.sentAt
        when {
            now >= part.deadline -> fail(part, now, out)
            part.accepted -> Unit
            waited >= timeout -> fail(part, now, out)
            !part.resent && waited >= timeout / 2 -> resend(part, now, out)
        }
    }

    private fun resend(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        part.resent = true
        count { copy(resent = resent + 1) }
        send(part, now, out)
    }

    private fun fail(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        if (!part.isSingleHost) return takeOver(part, now, out)
        close(part)
        markUnreachable(part)
    }

    private fun takeOver(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        count { copy(groupsTakenOver = groupsTakenOver + 1) }
        close(part)
        val groups = division.singles(listOf(part.group.leader)) + division.divide(part.group.others)
        groups.forEach { sendRequest(part.collection, it, now, out) }
    }

    private fun abandon(collection: StatusCollection, out: MutableList<Outbound>) {
        collection.open.values.toList().forEach { part ->
            close(part)
            markUnreachable(part)
        }
        finishIfComplete(collection, out)
    }

    private fun markUnreachable(part: StatusPart) {
        count { copy(hostsUnreachable = hostsUnreachable + part.size) }
        part.collection.tally.addUnreachable(part.keys() + hostKey(part.group.leader.host))
    }

    private fun close(part: StatusPart) {
        parts.remove(part.number)
        part.collection.open.remove(part.number)
    }

    private fun finishIfComplete(collection: StatusCollection, out: MutableList<Outbound>) {
        if (collection.open.isNotEmpty() || !collections.remove(collection)) return
        when (val requester = collection.requester) {
            is Requester.Peer -> finish(requester, collection, out)
            is Requester.Local -> finish(requester, collection)
        }
    }

    private fun finish(requester: Requester.Peer, collection: StatusCollection, out: MutableList<Outbound>) {
        val reply = collection.tally.reply(requester.part, collection.unresolved)
        finishedReplies[requester] = reply
        if (finishedReplies.size > MAX_FINISHED_REPLIES) finishedReplies.remove(finishedReplies.keys.first())
        out += Outbound(requester.host, reply)
    }

    private fun finish(requester: Requester.Local, collection: StatusCollection) {
        val now = clock.now()
        val hosts = (collection.hosts + fleet.self).associate { hostKey(it.host) to it.host }
        val summary = summarize(collection.tally, hosts, now - collection.startedAt)
        cachedSummary = summary
        cachedAt = now
        runningQuery = null
        requester.callbacks.forEach { it(summary) }
    }

    private fun ownRow(): StatusRow {
        val own = localVersion()
        val sample = StatusSample(hostKey(fleet.self.host), own.behindForMs ?: StatusSample.NO_NEWER_VERSION_KNOWN)
        return StatusRow(fleet.self.failureDomain, own.number, 1, listOf(sample))
    }

    private fun currentKeys(): HostKeys {
        val list = fleet.hostList
        if (keys.list !== list) keys = HostKeys(list)
        return keys
    }

    private fun count(change: ConvergenceCounters.() -> ConvergenceCounters) {
        counters = counters.change()
    }

    private companion object {
        /** Collections for other daemons that run at the same time. */
        const val MAX_COLLECTIONS = 32

        /** Callers that share one query. */
        const val MAX_CALLBACKS = 256

        /** Finished replies that are kept, to be resent to a requester that did not receive them. */
        const val MAX_FINISHED_REPLIES = 16

        /** Share of the remaining time that a group gets; at least as much remains to query its hosts individually. */
        const val PART_TIME_SHARE = 0.45

        /** Time reserved so that a reply that is sent at its deadline still arrives in time. */
        val REPLY_MARGIN = 50.milliseconds
    }
}
