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
 * Creates the collector of the daemon on [FleetView.self], whose own version in force is what [localVersion] returns.
 */
public fun convergenceCollector(
    settings: ConvergenceSettings,
    fleet: FleetView,
    localVersion: () -> LocalVersion,
    clock: Clock,
    random: Random,
): ConvergenceCollector = ConvergenceCollector(settings, fleet, localVersion, clock, random)

/**
 * Asks the whole fleet which version is in force where, and answers such queries of others.
 *
 * A query costs nothing while nobody asks. It is scattered along groups of hosts: the leader of a group asks the rest
 * of
 * it and adds up the answers. The asker takes over the group of a leader that does not answer. Each host is in one
 * group
 * at each level, and the answer for a group is taken once, so that no host is counted twice.
 *
 * It is driven from one coroutine; [counters] may be read from any thread.
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
    private val finished = LinkedHashMap<Asker.Peer, StatusReply>()
    private var nextPart = random.nextInt(0, Int.MAX_VALUE)
    private var running: Asker.Local? = null
    private var cached: ConvergenceSummary? = null
    private var cachedAt = Duration.ZERO
    private var keys = HostKeys(fleet.hostList)

    /** Counts since the start. */
    @Volatile
    public var counters: ConvergenceCounters = ConvergenceCounters()
        private set

    /**
     * Asks the fleet and calls [onDone] once with the summary, at the latest after [ConvergenceSettings.totalTimeout].
     *
     * A summary younger than [ConvergenceSettings.cacheFor] is given at once, and a query that runs is shared.
     */
    public fun startQuery(onDone: (ConvergenceSummary) -> Unit): Result<List<Outbound>, ResultCode> {
        val now = clock.now()
        val recent = cached
        if (recent != null && now - cachedAt < settings.cacheFor) {
            count { copy(queriesShared = queriesShared + 1) }
            onDone(recent)
            return Ok(emptyList())
        }
        val shared = running
        if (shared != null) return share(shared, onDone)
        return Ok(startCollection(onDone, now))
    }

    /** Takes a message that arrived from [from] and returns what to send in turn. */
    public fun receive(from: HostId, message: ConvergenceMessage): List<Outbound> {
        val out = mutableListOf<Outbound>()
        when (message) {
            is StatusRequest -> serve(from, message, out)
            is StatusAccepted -> parts[message.part]?.takeIf { it.group.leader.host == from }?.accepted = true
            is StatusReply -> takeReply(from, message, out)
        }
        return out
    }

    /** Runs what is due; call it every 50 to 100 ms. */
    public fun tick(): List<Outbound> {
        val out = mutableListOf<Outbound>()
        if (collections.isEmpty()) return out
        val now = clock.now()
        collections.filter { it.deadline <= now }.forEach { giveUp(it, out) }
        parts.values.toList().forEach { check(it, now, out) }
        collections.toList().forEach { finishIfComplete(it, out) }
        return out
    }

    private fun share(local: Asker.Local, onDone: (ConvergenceSummary) -> Unit): Result<List<Outbound>, ResultCode> {
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
        val local = Asker.Local()
        local.callbacks += onDone
        running = local
        val others = fleet.hostList.hosts.filter { it.host != fleet.self.host }
        collect(StatusCollection(local, others, now, now + settings.totalTimeout), now, out)
        return out
    }

    private fun serve(from: HostId, request: StatusRequest, out: MutableList<Outbound>) {
        count { copy(requestsServed = requestsServed + 1) }
        if (request.hostKeys.isEmpty()) {
            out += Outbound(from, StatusReply(request.part, listOf(ownRow())))
            return
        }
        val asker = Asker.Peer(from, request.part)
        val done = finished[asker]
        when {
            done != null -> out += Outbound(from, done)
            collections.any { it.asker == asker } -> out += Outbound(from, StatusAccepted(request.part))
            collections.size >= MAX_COLLECTIONS -> count { copy(requestsRefused = requestsRefused + 1) }
            else -> serveGroup(asker, request, out)
        }
    }

    private fun serveGroup(asker: Asker.Peer, request: StatusRequest, out: MutableList<Outbound>) {
        out += Outbound(asker.host, StatusAccepted(request.part))
        val now = clock.now()
        val known = currentKeys()
        val hosts = request.hostKeys.distinct().mapNotNull { known[it] }.filter { it.host != fleet.self.host }
        val budget = request.budgetMs.milliseconds.coerceIn(Duration.ZERO, settings.totalTimeout)
        val collection = StatusCollection(asker, hosts, now, now + budget)
        collection.unresolved += request.hostKeys - hosts.map { hostKey(it.host) }.toSet()
        collect(collection, now, out)
    }

    private fun collect(collection: StatusCollection, now: Duration, out: MutableList<Outbound>) {
        collections += collection
        collection.tally.add(listOf(ownRow()))
        val known = currentKeys()
        val (keyed, unkeyed) = collection.hosts.partition { it in known }
        val groups = division.divide(keyed) + division.singles(unkeyed)
        groups.forEach { ask(collection, it, now, out) }
        finishIfComplete(collection, out)
    }

    private fun ask(collection: StatusCollection, group: HostGroup, now: Duration, out: MutableList<Outbound>) {
        nextPart = (nextPart + 1) and Int.MAX_VALUE
        val part = StatusPart(nextPart, collection, group, now, partDeadline(collection, group, now))
        parts[part.number] = part
        collection.open[part.number] = part
        send(part, now, out)
    }

    private fun partDeadline(collection: StatusCollection, group: HostGroup, now: Duration): Duration {
        val remaining = collection.deadline - now
        if (group.others.isEmpty()) return now + minOf(settings.leafTimeout, remaining)
        return now + remaining * PART_SHARE
    }

    private fun send(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        count { copy(requestsSent = requestsSent + 1) }
        val budget = (part.deadline - now - REPLY_MARGIN).coerceAtLeast(Duration.ZERO)
        val request = StatusRequest(part.number, budget.inWholeMilliseconds.toInt(), part.keys())
        out += Outbound(part.group.leader.host, request)
    }

    private fun takeReply(from: HostId, reply: StatusReply, out: MutableList<Outbound>) {
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
        division.singles(unresolved).forEach { ask(collection, it, now, out) }
        finishIfComplete(collection, out)
    }

    private fun check(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        if (parts[part.number] !== part) return
        val patience = if (part.single) settings.leafTimeout else settings.acceptTimeout
        val waited = now - part.sentAt
        when {
            now >= part.deadline -> fail(part, now, out)
            part.accepted -> Unit
            waited >= patience -> fail(part, now, out)
            !part.resent && waited >= patience / 2 -> resend(part, now, out)
        }
    }

    private fun resend(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        part.resent = true
        count { copy(resent = resent + 1) }
        send(part, now, out)
    }

    private fun fail(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        if (!part.single) return takeOver(part, now, out)
        close(part)
        markUnreachable(part)
    }

    private fun takeOver(part: StatusPart, now: Duration, out: MutableList<Outbound>) {
        count { copy(groupsTakenOver = groupsTakenOver + 1) }
        close(part)
        val groups = division.singles(listOf(part.group.leader)) + division.divide(part.group.others)
        groups.forEach { ask(part.collection, it, now, out) }
    }

    private fun giveUp(collection: StatusCollection, out: MutableList<Outbound>) {
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
        when (val asker = collection.asker) {
            is Asker.Peer -> finish(asker, collection, out)
            is Asker.Local -> finish(asker, collection)
        }
    }

    private fun finish(asker: Asker.Peer, collection: StatusCollection, out: MutableList<Outbound>) {
        val reply = collection.tally.reply(asker.part, collection.unresolved)
        finished[asker] = reply
        if (finished.size > MAX_FINISHED) finished.remove(finished.keys.first())
        out += Outbound(asker.host, reply)
    }

    private fun finish(asker: Asker.Local, collection: StatusCollection) {
        val now = clock.now()
        val hosts = (collection.hosts + fleet.self).associate { hostKey(it.host) to it.host }
        val summary = summarize(collection.tally, hosts, now - collection.startedAt)
        cached = summary
        cachedAt = now
        running = null
        asker.callbacks.forEach { it(summary) }
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
        /** Collections for others that run at the same time. */
        const val MAX_COLLECTIONS = 32

        /** Callers that share one query. */
        const val MAX_CALLBACKS = 256

        /** Replies kept for an asker that did not get them. */
        const val MAX_FINISHED = 16

        /** Share of the remaining time that a group gets, so that as much is left to take it over. */
        const val PART_SHARE = 0.45

        /** Time kept back so that a reply made at the last moment arrives in time. */
        val REPLY_MARGIN = 50.milliseconds
    }
}
