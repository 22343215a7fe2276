package kingcuptide.coordination.request.quota

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The quota accounts of many hosts on virtual time, with the latencies of the deployment, Poisson arrivals and one
 * [QuotaFault] in the middle of the run. Records in a [QuotaHistory] which requests were passed on.
 *
 * With [hasSlowHosts], most hosts have 0.3 of a core, handle messages and ticks late and pause (see [SimulatedCpu]); a few
 * get no requests, and others are published without running.
 */
internal class QuotaSimulation(
    private val seed: Int,
    private val hostCount: Int,
    private val workload: List<SimulatedWorkspace>,
    private val fault: QuotaFault,
    private val duration: Duration = DURATION,
    private val planted: PlantedFault = PlantedFault.NONE,
    private val hasSlowHosts: Boolean = false,
) : Clock {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>()
    private var now = 1_000.seconds
    private var lastEvent = 0L
    private val begin = now
    private var limits = workload.associate { it.key to it.limit }
    private val hosts = List(hostCount + JOINING) { Host(it) }

    /** The hosts that run from the begin. */
    private val present = hosts.take(hostCount)
    private val byId = hosts.associateBy { it.id }
    private var contactSince = begin
    private val liveBySide = HashMap<Int, Map<HostId, QuotaPeer>>()
    val history = QuotaHistory(begin, workload.associate { it.key to it.limit })
    private val sentBy = LongArray(hosts.size)
    private var published = hostCount + if (hasSlowHosts) ABSENT else 0

    /** Greatest sum of the shares that all hosts spent at one time. */
    var mostShare = 0.0
        private set

    /** When the hosts had no fault any more, after the begin. */
    var faultEndedAt = FAULT_AT
        private set

    /** Bytes that each host has sent a second since [WARM_AFTER]. */
    val bytesPerSecond: List<Long>
        get() = sentBy.take(hostCount).map { it / (duration - WARM_AFTER).inWholeSeconds }

    override fun now(): Duration = now

    fun run(): QuotaSimulation {
        present.forEach { it.start() }
        updateViews(Duration.ZERO)
        workload.forEach(::arrive)
        after(FAULT_AT, ::strike)
        every(100.milliseconds) { checkContact() }
        while (true) {
            val next = events.remove()
            if (next.at > begin + duration) return this
            now = next.at
            next.action()
        }
    }

    private fun strike() {
        val length = (1 + LONGEST_FAULT.inWholeSeconds * random.nextDouble()).seconds
        when (fault) {
            QuotaFault.NONE, QuotaFault.LOSSY -> Unit
            QuotaFault.LIMIT_FALLS -> changeLimits(0.1)
            QuotaFault.LIMIT_RISES -> changeLimits(3.0)
            QuotaFault.HERD_KILLED -> kill(group(), length)
            QuotaFault.LENDERS_KILLED -> kill(hosts.filter { it.isLender() }, length)
            QuotaFault.ALL_RESTART -> kill(present, 100.milliseconds)
            QuotaFault.PAUSED -> pause(group(), length)
            QuotaFault.CUT -> cut(group(), length * 2)
            QuotaFault.JOIN_AND_LEAVE -> joinAndLeave()
        }
    }

    /** A failure domain, a region, or some hosts of all. */
    private fun group(): List<Host> = when (random.nextInt(3)) {
        0 -> random.nextInt(DOMAINS).let { drawn -> present.filter { it.number % DOMAINS == drawn } }
        1 -> random.nextInt(DOMAINS / 2).let { drawn -> present.filter { it.region == drawn } }
        else -> present.shuffled(random).take(hostCount / 3)
    }

    private fun joinAndLeave() {
        hosts.drop(hostCount).forEach { host ->
            after(LONGEST_FAULT * random.nextDouble()) {
                publish(1)
                host.start()
                faultEndedAt = now - begin
                updateViews(300.milliseconds)
            }
        }
        val lenders = hosts.filter { it.isLender() }.shuffled(random).take(2)
        (lenders + present.shuffled(random).take(1)).distinct().forEach { host ->
            after(LONGEST_FAULT * random.nextDouble()) { leave(host) }
        }
    }

    /** The daemon of [host] announces that it stops, answers its peers for some time more and ends. */
    private fun leave(host: Host) {
        host.isLeaving = true
        updateViews(5.milliseconds)
        after(500.milliseconds + 1.seconds * random.nextDouble()) {
            host.stop()
            faultEndedAt = now - begin
            updateViews(5.milliseconds)
            publish(-1)
        }
    }

    /** The number of published hosts changes; each host learns it within a second. */
    private fun publish(change: Int) {
        published += change
        val count = published
        hosts.filter { it.isUp }.forEach { host ->
            after(1.seconds * random.nextDouble()) { host.account?.setHostCount(count) }
        }
    }

    private fun changeLimits(factor: Double) {
        val changed = limits.mapValues { (_, it) -> QuotaLimit(it.ratePerSecond * factor, it.burst * factor) }
        limits = changed
        history.limitsChanged(now, changed)
        hosts.forEach { host -> after(1.seconds * random.nextDouble()) { host.account?.configure(limits) } }
    }

    private fun kill(killed: List<Host>, length: Duration) {
        killed.forEach { it.stop() }
        updateViews(5.milliseconds)
        for (host in killed) {
            after(length + 1.seconds * random.nextDouble()) {
                host.start()
                faultEndedAt = now - begin
                updateViews(300.milliseconds)
            }
        }
    }

    private fun pause(paused: List<Host>, length: Duration) {
        paused.forEach { it.isPaused = true }
        updateViews(SILENCE)
        after(length) {
            faultEndedAt = now - begin
            paused.forEach { it.resume() }
            updateViews(300.milliseconds)
        }
    }

    private fun cut(apart: List<Host>, length: Duration) {
        apart.forEach { it.side = 1 }
        updateViews(SILENCE)
        after(length) {
            faultEndedAt = now - begin
            apart.forEach { it.side = 0 }
            updateViews(300.milliseconds)
        }
    }

    /** Tells all hosts after about [delay] which others they reach then. */
    private fun updateViews(delay: Duration) = hosts.forEach { host ->
        liveBySide.clear()
        after(delay + 20.milliseconds * random.nextDouble()) {
            if (!host.isPaused) host.tree?.setLive(liveOn(host.side), host.isLeaving)
        }
    }

    private fun liveOn(side: Int): Map<HostId, QuotaPeer> = liveBySide.getOrPut(side) {
        hosts.filter { it.isUp && !it.isPaused && it.side == side }.associate { it.id to it.asPeer() }
    }

    private fun checkContact() {
        val up = hosts.filter { it.isUp }
        mostShare = maxOf(mostShare, up.filter { !it.isPaused }.sumOf { it.account?.share ?: 0.0 })
        if (up.any { it.isPaused } || up.any { it.side != up[0].side }) contactSince = now
        if (now - contactSince >= 3.seconds) history.inContact(contactSince, now)
    }

    private fun arrive(workspace: SimulatedWorkspace) {
        after((1.seconds / workspace.perSecond) * -ln(1 - random.nextDouble())) {
            arrive(workspace)
            val host = hostFor(workspace)
            if (host != null) host.handle(SimulatedCpu.REQUEST_COST) { request(host, workspace.key) }
        }
    }

    private fun hostFor(workspace: SimulatedWorkspace): Host? {
        val moves = ((now - begin) / 3.seconds).toInt()
        val number = when (workspace.place) {
            Place.ALL -> random.nextInt(hostCount)
            Place.ONE -> (workspace.key * 31 + seed).mod(hostCount)
            Place.MOVING -> (workspace.key + moves * 17 + seed).mod(hostCount)
        }
        return hosts[number].takeIf { it.isUp && !it.isPaused && !it.isLeaving && !it.isIdle }
    }

    private fun request(host: Host, key: Int) {
        val requestedAt = now
        history.requested(key, now)
        host.acquire(key) { decision ->
            if (decision != QuotaDecision.Allowed) return@acquire
            if (random.nextInt(100) >= GIVEN_BACK_PERCENT) {
                history.passed(key, requestedAt, now)
            } else {
                history.withdrawn(key, requestedAt)
                after(30.milliseconds) { host.account?.giveBack(key) }
            }
        }
    }

    private fun send(from: Host, to: HostId, message: QuotaMessage) {
        val size = bytesOf(message)
        if (now - begin >= WARM_AFTER) sentBy[from.number] += size.toLong()
        if (fault == QuotaFault.LOSSY && random.nextInt(100) < LOST_PERCENT) return
        val receiver = byId.getValue(to)
        val incarnation = receiver.incarnation
        val delay = latency(from, receiver) * (1 + 0.2 * random.nextDouble())
        after(delay) {
            if (receiver.side != from.side || receiver.incarnation != incarnation) return@after
            val action = { receiver.account?.received(from.id, withFault(message)) ?: Unit }
            receiver.handle(SimulatedCpu.MESSAGE_COST) {
                if (receiver.isPaused) receiver.backlog += action else action()
            }
        }
    }

    private fun withFault(message: QuotaMessage): QuotaMessage = when {
        planted == PlantedFault.ROOT_IGNORES_WEIGHTS && message is QuotaMessage.Ask -> message.copy(weight = hostCount)
        planted == PlantedFault.GRANTS_COUNT_TWICE && message is QuotaMessage.Grant ->
            message.copy(granted = message.granted.map { it * 2 })
        else -> message
    }

    private fun latency(from: Host, to: Host): Duration = when {
        from.region != to.region -> 12.milliseconds
        from.domain != to.domain -> 1_400.microseconds
        else -> 300.microseconds
    }

    private fun after(delay: Duration, action: () -> Unit) {
        events += Event(now + delay, ++lastEvent, action)
    }

    private fun every(interval: Duration, action: () -> Unit): Unit = after(interval) {
        action()
        every(interval, action)
    }

    private inner class Host(
        val number: Int,
    ) {
        val id = HostId("host-$number")
        val region = number % DOMAINS / 2
        val domain = FailureDomainId("domain-${number % DOMAINS}")
        val backlog = ArrayList<() -> Unit>()
        var account: QuotaAccount? = null
        var tree: QuotaTree? = null
        var side = 0
        private val cpu = if (hasSlowHosts) SimulatedCpu(cpuShareOf(number), Random(seed * 1_000 + number)) else null
        var isLeaving = false

        private var startedAt = now

        /** The clocks by which hosts tell their start differ by up to 0.5 s. */
        private val clockOffset = Random(number).nextInt(500).milliseconds

        fun asPeer() = QuotaPeer(
            domain,
            cpu?.share ?: QuotaPeer.WHOLE_CORE,
            (startedAt + clockOffset).inWholeMilliseconds,
            isLeaving,
        )

        /** Some hosts are live and get no requests. */
        val isIdle = hasSlowHosts && number % hostCount >= hostCount - IDLE

        /** The bucket of a child that fills it while it delegates its weight. */
        private val ownBucket = if (planted != PlantedFault.CHILD_FILLS_OWN_BUCKET) {
            null
        } else {
            QuotaAccount(id, this@QuotaSimulation, QuotaTree(this@QuotaSimulation, id, asPeer()), random) { _, _ -> }
                .also { it.configure(limits) }
                .also { it.setHostCount(hostCount) }
        }
        var isPaused = false
        private var tickedAt = -QuotaAccount.IDLE_TICK_INTERVAL
        var incarnation = 0
        val isUp: Boolean get() = account != null

        /** Starts a process; the daemon in it is ready after some time on a slow host. */
        fun start() {
            startedAt = now
            val startup = cpu?.start(now) ?: return ready(Duration.ZERO)
            val of = ++incarnation
            after(startup) {
                if (incarnation != of) return@after
                ready(startup)
                if (startedAt >= begin + FAULT_AT) faultEndedAt = now - begin
                updateViews(100.milliseconds)
            }
        }

        private fun ready(processAge: Duration) {
            val view = QuotaTree(this@QuotaSimulation, id, asPeer())
            val send = { to: HostId, message: QuotaMessage -> send(this, to, message) }
            val started = QuotaAccount(id, this@QuotaSimulation, view, random, processAge, send = send)
            started.configure(limits)
            started.setHostCount(published)
            tree = view
            account = started
            tick(++incarnation)
        }

        /** Runs [action] when the processor of this host has got to it, unless the process has ended before. */
        fun handle(cost: Duration, action: () -> Unit) {
            if (cpu == null) return action()
            val of = incarnation
            val isRequest = cost == SimulatedCpu.REQUEST_COST
            val delay = cpu.finish(now, cost, isRequest) - now
            after(delay) { if (incarnation == of) action() }
        }

        fun acquire(key: Int, onDecision: (QuotaDecision) -> Unit) {
            account?.acquire(key, QuotaAccount.MAX_WAIT) { decision ->
                val spare = ownBucket
                if (decision == QuotaDecision.Allowed || spare == null) return@acquire onDecision(decision)
                spare.tick()
                spare.acquire(key, Duration.ZERO, onDecision)
            }
        }

        fun stop() {
            account = null
            tree = null
            incarnation++
        }

        /** Handles what has arrived during the pause, and the overdue tick. */
        fun resume() {
            isPaused = false
            backlog.toList().forEach { it() }
            backlog.clear()
            account?.tick()
        }

        fun isLender(): Boolean = tree?.let { it.domainLender() == id || it.rootLender() == id } ?: false

        /** Ticks as rarely as the account allows. */
        private fun tickIfDue() {
            val ticked = account ?: return
            if (!ticked.isPending && now - tickedAt < QuotaAccount.IDLE_TICK_INTERVAL) return
            tickedAt = now
            ticked.tick()
        }

        private fun tick(of: Int): Unit = after(QuotaAccount.TICK_INTERVAL * (0.9 + 0.2 * random.nextDouble())) {
            if (incarnation != of) return@after
            handle(SimulatedCpu.TICK_COST) {
                if (!isPaused) tickIfDue()
                tick(of)
            }
        }
    }

    private class Event(
        val at: Duration,
        val number: Long,
        val action: () -> Unit,
    ) : Comparable<Event> {
        override fun compareTo(other: Event): Int {
            val byTime = at.compareTo(other.at)
            return if (byTime != 0) byTime else number.compareTo(other.number)
        }
    }

    companion object {
        val FAULT_AT = 14.seconds
        val DURATION = 34.seconds
        private val LONGEST_FAULT = 3.seconds

        /** Time after which the hosts have their shares. */
        val WARM_AFTER = 3.seconds
        private const val DOMAINS = 6

        /** Hosts that join, those that are live and get no requests, and those that are published and do not run. */
        private const val JOINING = 5
        private const val IDLE = 3
        private const val ABSENT = 2

        /** Two hosts of each failure domain have 1.5 cores, the others 0.3; of those that join, one has 1.5. */
        private fun cpuShareOf(number: Int) = if (number < 2 * DOMAINS || number % 70 == 1) 1_500 else 300

        private const val LOST_PERCENT = 5

        /** Share of the requests that are refused elsewhere after they got a token. */
        private const val GIVEN_BACK_PERCENT = 2

        /** Time after which daemons notice that another is silent. */
        private val SILENCE = 2_500.milliseconds
    }
}
