package kingcuptide.coordination.request

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.ServiceSpec
import kotlin.random.Random
import kotlin.time.Duration

/**
 * The last word on whether a request may go to the target beside this daemon.
 *
 * The number of requests in flight never exceeds the limit of that moment, however many daemons send at once. A refusal
 * is final: a refused request has not run and will not. Thread-safe; no call waits for anything but a short lock, and
 * callbacks run outside it.
 */
public interface AdmissionGate {
    /**
     * Decides on [request]. [onDecided] is called exactly once if the result is [Admission.Queued] and its entry is not
     * cancelled, on the thread that ended another request or called [tick]; otherwise never.
     */
    public fun tryAdmit(request: AdmissionRequest, onDecided: (Admission) -> Unit): Admission

    /** Gives up waiting requests whose time has come, and watches the target; called about every 50 ms. */
    public fun tick()

    /** Refuses new work from here on, and calls [onDrained] once nothing is in flight. */
    public fun drain(onDrained: () -> Unit)

    /** Takes over changed figures of the service. */
    public fun configure(spec: ServiceSpec)

    /** The target was seen to start, by its health endpoint or by a new process: the ramp starts over. */
    public fun targetStarted()

    /** What the gate has in hand at this moment. */
    public fun load(): GateLoad

    /** Requests at the target. */
    public val inFlight: Int
}

/** Creates the gate of a target in region [region], which counts as freshly started. */
public fun admissionGate(
    region: RegionId,
    spec: ServiceSpec,
    surroundings: GateDependencies,
    clock: Clock,
    random: Random,
    settings: GateSettings = GateSettings(),
    counters: RequestCounters = RequestCounters.NONE,
): AdmissionGate = LimitingGate(region, spec, surroundings, clock, random, settings, counters)

private class LimitingGate(
    private val region: RegionId,
    spec: ServiceSpec,
    private val surroundings: GateDependencies,
    private val clock: Clock,
    private val random: Random,
    private val settings: GateSettings,
    private val counters: RequestCounters,
) : AdmissionGate {
    private val lock = Any()
    private val limit = ConcurrencyLimit(spec, clock.now(), counters::limitCut)
    private val connection = TargetConnection()
    private val running = LinkedHashSet<Ticket>()
    private val queue = AdmissionQueue<Waiting>(spec.queueLength)
    private val alone = AloneRun<Waiting>(settings)
    private var drainCallback: (() -> Unit)? = null
    private var draining = false
    private var wasTakenOut = false
    private var lastTick = clock.now()

    override val inFlight: Int get() = synchronized(lock) { running.size }

    override fun tryAdmit(request: AdmissionRequest, onDecided: (Admission) -> Unit): Admission =
        synchronized(lock) { admit(Waiting(request, clock.now(), onDecided)) }

    override fun tick() = decide { actions ->
        val now = clock.now()
        val paused = now - lastTick >= settings.pauseAfter
        lastTick = now
        noteTakenOut(now)
        connection.forgetOld(now)
        if (!paused) limit.checkStalled(running.map { it.request.route to it.startedAt }, now)
        handOff(now, actions)
    }

    override fun drain(onDrained: () -> Unit) = decide { actions ->
        draining = true
        drainCallback = onDrained
        handOff(clock.now(), actions)
    }

    override fun configure(spec: ServiceSpec): Unit = synchronized(lock) {
        limit.configure(spec)
        queue.capacity = spec.queueLength
    }

    override fun targetStarted() = decide { actions ->
        connection.reachable()
        limit.turnedCold(LimitCutReason.TARGET_STARTED, clock.now())
        handOff(clock.now(), actions)
    }

    override fun load(): GateLoad = synchronized(lock) {
        GateLoad(inFlight = running.size, limit = limitNow(clock.now()), queued = queue.size)
    }

    private fun limitNow(now: Duration): Int =
        if (draining) 0 else connection.limit(now, running.size, limit.current(now))

    private fun admit(waiting: Waiting): Admission {
        val now = clock.now()
        refusalOf(waiting, now)?.let { return refused(it, now) }
        return when (verdictOf(waiting)) {
            Verdict.QUARANTINED -> refused(ResultCode.QUARANTINED, now)
            Verdict.SUSPECT -> admitSuspect(waiting, now)
            Verdict.CLEAR -> admitClear(waiting, now)
        }
    }

    private fun admitClear(waiting: Waiting, now: Duration): Admission {
        if (queue.isEmpty && hasRoom(now)) return Admission.Admitted(start(waiting, now, alone = false))
        if (connection.isDown(now)) return refused(ResultCode.TARGET_DOWN, now)
        val wait = expectedWait(now)
        val late = wait > settings.maxQueueWait || wait + limit.serviceTime > waiting.request.remaining
        if (late || !queue.offer(waiting, waiting.deadline)) return refused(fullCode(now), now)
        return Admission.Queued(waiting)
    }

    private fun admitSuspect(waiting: Waiting, now: Duration): Admission {
        if (connection.isDown(now)) return refused(ResultCode.TARGET_DOWN, now)
        if (!alone.reserve(waiting, now)) return refused(ResultCode.SUSPECT_BUSY, now)
        if (running.isNotEmpty()) return Admission.Queued(waiting)
        alone.takeWaiting()
        return Admission.Admitted(start(waiting, now, alone = true))
    }

    /** Returns why [waiting] must not start now, whatever the limit says. */
    private fun refusalOf(waiting: Waiting, now: Duration): ResultCode? {
        noteTakenOut(now)
        return when {
            !surroundings.canAcceptWork() -> ResultCode.AWAKENING
            draining -> ResultCode.DRAINING
            wasTakenOut -> ResultCode.FAILURE_DOMAIN_TAKEN_OUT
            region !in waiting.request.homeRegions -> ResultCode.WRONG_REGION
            now >= waiting.deadline -> ResultCode.DEADLINE_PASSED
            else -> null
        }
    }

    private fun noteTakenOut(now: Duration) {
        val takenOut = surroundings.isTakenOut()
        if (wasTakenOut && !takenOut) limit.turnedCold(LimitCutReason.DOMAIN_RETURNED, now)
        wasTakenOut = takenOut
    }

    private fun hasRoom(now: Duration): Boolean =
        !alone.isClaimed && running.size < limitNow(now)

    private fun expectedWait(now: Duration): Duration =
        limit.serviceTime * ((queue.size + 1).toDouble() / limit.current(now))

    private fun fullCode(now: Duration): ResultCode = when {
        connection.isDown(now) -> ResultCode.TARGET_DOWN
        limit.isCold(now) -> ResultCode.TARGET_COLD
        else -> ResultCode.TARGET_FULL
    }

    private fun start(waiting: Waiting, now: Duration, alone: Boolean): Ticket {
        val ticket = Ticket(waiting.request, now, alone)
        running += ticket
        connection.tried(now)
        return ticket
    }

    /** Starts or gives up waiting requests, as far as the limit allows at this moment. */
    private fun handOff(now: Duration, actions: Actions) {
        handOffSuspect(now, actions)
        giveUpLate(now, actions)
        while (!queue.isEmpty && hasRoom(now)) {
            val waiting = queue.poll() ?: break
            settle(waiting, now, actions) { Admission.Admitted(start(waiting, now, alone = false)) }
        }
        if (draining && running.isEmpty()) drainCallback?.let { actions += it }.also { drainCallback = null }
    }

    private fun handOffSuspect(now: Duration, actions: Actions) {
        val late = alone.takeLate(now)
        if (late != null) {
            val refusal = refused(refusalOf(late, now) ?: ResultCode.SUSPECT_BUSY, now)
            actions += { late.onDecided(refusal) }
        }
        if (running.isNotEmpty()) return
        val waiting = alone.takeWaiting() ?: return
        settle(waiting, now, actions) { Admission.Admitted(start(waiting, now, alone = true)) }
        if (running.isEmpty()) alone.ended(now)
    }

    private fun giveUpLate(now: Duration, actions: Actions) {
        val mustStop = draining || wasTakenOut || connection.isDown(now) || !surroundings.canAcceptWork()
        val late = queue.removeIf { waiting ->
            mustStop || now - waiting.queuedAt > settings.maxQueueWait || waiting.deadline - now < limit.serviceTime
        }
        for (waiting in late) {
            val refusal = refused(refusalOf(waiting, now) ?: fullCode(now), now)
            actions += { waiting.onDecided(refusal) }
        }
    }

    private fun verdictOf(waiting: Waiting): Verdict =
        surroundings.verdict(waiting.request.fingerprint, waiting.request.suspect)

    private inline fun settle(waiting: Waiting, now: Duration, actions: Actions, admit: () -> Admission) {
        val code = refusalOf(waiting, now) ?: quarantineOf(waiting)
        val admission = if (code != null) refused(code, now) else admit()
        actions += { waiting.onDecided(admission) }
    }

    private fun quarantineOf(waiting: Waiting): ResultCode? =
        ResultCode.QUARANTINED.takeIf { verdictOf(waiting) == Verdict.QUARANTINED }

    private fun refused(code: ResultCode, now: Duration): Admission.Refused {
        counters.gateRefused(code)
        val backlog = (queue.size + running.size + 1).toDouble() / limit.current(now)
        return Admission.Refused(code, retryAfter(limit.serviceTime * backlog, random))
    }

    private fun finish(ticket: Ticket, result: TargetResult, actions: Actions) {
        if (!running.remove(ticket)) return
        val now = clock.now()
        if (ticket.alone) alone.ended(now)
        record(ticket, result, now, actions)
        handOff(now, actions)
    }

    private fun record(ticket: Ticket, result: TargetResult, now: Duration, actions: Actions) {
        when (result) {
            is TargetResult.Answered -> recordAnswer(ticket, result.status, now, actions)
            TargetResult.ConnectRefused -> recordRefusedConnection(now, actions)
            TargetResult.ConnectionLost -> recordLostConnection(ticket, now, actions)
            TargetResult.TimedOut -> limit.timedOut(ticket.startedAt, now)
            TargetResult.Cancelled -> Unit
        }
    }

    private fun recordAnswer(ticket: Ticket, status: Int, now: Duration, actions: Actions) {
        connection.answered(ticket.startedAt)
        if (status in OVERLOAD_STATUSES) return limit.overloaded(ticket.startedAt, now)
        limit.answered(ticket.request.route, ticket.startedAt, now, running.size + 1)
        actions += { surroundings.answered(ticket.request.fingerprint) }
    }

    private fun recordRefusedConnection(now: Duration, actions: Actions) {
        val victims = connection.refused(now)
        limit.turnedCold(LimitCutReason.TARGET_DIED, now)
        if (victims.isNotEmpty()) actions += { surroundings.targetCrashed(victims) }
    }

    private fun recordLostConnection(ticket: Ticket, now: Duration, actions: Actions) {
        connection.lost(ticket.request, now)
        val survivor = running.any { it.startedAt <= connection.firstLossAt }
        if (survivor) return
        val victims = connection.died()
        limit.turnedCold(LimitCutReason.TARGET_DIED, now)
        actions += { surroundings.targetCrashed(victims) }
    }

    private inline fun <T> decide(block: (Actions) -> T): T {
        val actions = Actions()
        val result = synchronized(lock) { block(actions) }
        actions.run()
        return result
    }

    private inner class Ticket(
        val request: AdmissionRequest,
        val startedAt: Duration,
        val alone: Boolean,
    ) : AdmissionTicket {
        override fun finish(result: TargetResult) = decide { finish(this, result, it) }
    }

    private inner class Waiting(
        val request: AdmissionRequest,
        val queuedAt: Duration,
        val onDecided: (Admission) -> Unit,
    ) : QueuedAdmission {
        val deadline: Duration = queuedAt + request.remaining

        override fun cancel(): Boolean = synchronized(lock) { queue.remove(this) || alone.cancel(this) }
    }
}

/** What is to be called once the lock is free. */
private class Actions {
    private val actions = ArrayList<() -> Unit>(0)

    operator fun plusAssign(action: () -> Unit) {
        actions += action
    }

    fun run() = actions.forEach { it() }
}

private val OVERLOAD_STATUSES = setOf(429, 503)
