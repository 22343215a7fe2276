package kingcuptide.coordination.request

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.ServiceSpec
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Makes the final decision on whether a request may be sent to the target beside this daemon.
 *
 * No request is admitted above the current limit, however many daemons send at once. A refusal is final: a refused
 * request has not run and will not run. Thread-safe; calls block only on a short lock, and callbacks run outside it.
 */
public interface AdmissionGate {
    /**
     * Decides on [request]. [onDecided] is called exactly once if the result is [Admission.Queued] and its entry is not
     * cancelled, on the thread whose call led to the decision, such as one that finished a request or called [tick];
     * otherwise never.
     */
    public fun tryAdmit(request: AdmissionRequest, onDecided: (Admission) -> Unit): Admission

    /** Refuses queued requests that waited too long, and checks for stalled ones; to be called about every 50 ms. */
    public fun tick()

    /** Refuses new and queued requests from now on, and calls [onDrained] once nothing is in flight. */
    public fun drain(onDrained: () -> Unit)

    /** Applies changed service settings. */
    public fun configure(spec: ServiceSpec)

    /** Records a start of the target, detected by its health endpoint or as a new process: the ramp restarts. */
    public fun targetStarted()

    /** Returns the current load and limit. */
    public fun load(): GateLoad

    /** Number of requests at the target. */
    public val inFlight: Int
}

/** Creates the gate of a target in [region]; the target is treated as just started. */
public fun admissionGate(
    region: RegionId,
    spec: ServiceSpec,
    dependencies: GateDependencies,
    clock: Clock,
    random: Random,
    settings: GateSettings = GateSettings(),
    counters: RequestCounters = RequestCounters.NONE,
): AdmissionGate = LimitingGate(region, spec, dependencies, clock, random, settings, counters)

private class LimitingGate(
    private val region: RegionId,
    spec: ServiceSpec,
    private val dependencies: GateDependencies,
    private val clock: Clock,
    private val random: Random,
    private val settings: GateSettings,
    private val counters: RequestCounters,
) : AdmissionGate {
    private val lock = Any()
    private val limit = ConcurrencyLimit(spec, clock.now(), counters::limitCut)
    private val reachability = TargetReachability()
    private val running = LinkedHashSet<Ticket>()
    private val queue = AdmissionQueue<QueuedRequest>(spec.queueLength)
    private val exclusiveRun = ExclusiveRun<QueuedRequest>(settings)
    private var drainCallback: (() -> Unit)? = null
    private var isDraining = false
    private var wasTakenOut = false
    private var lastTickAt = clock.now()

    override val inFlight: Int get() = synchronized(lock) { running.size }

    override fun tryAdmit(request: AdmissionRequest, onDecided: (Admission) -> Unit): Admission =
        synchronized(lock) { admit(QueuedRequest(request, clock.now(), onDecided)) }

    override fun tick() = withLock { callbacks ->
        val now = clock.now()
        val wasPaused = now - lastTickAt >= settings.minPauseGap
        lastTickAt = now
        updateTakenOut(now)
        reachability.expireLosses(now)
        if (!wasPaused) limit.checkStalled(running.map { it.request.route to it.startedAt }, now)
        dispatchQueue(now, callbacks)
    }

    override fun drain(onDrained: () -> Unit) = withLock { callbacks ->
        isDraining = true
        drainCallback = onDrained
        dispatchQueue(clock.now(), callbacks)
    }

    override fun configure(spec: ServiceSpec): Unit = synchronized(lock) {
        limit.configure(spec)
        queue.capacity = spec.queueLength
    }

    override fun targetStarted() = withLock { callbacks ->
        reachability.markReachable()
        limit.restartRamp(LimitCutReason.TARGET_STARTED, clock.now())
        dispatchQueue(clock.now(), callbacks)
    }

    override fun load(): GateLoad = synchronized(lock) {
        GateLoad(inFlight = running.size, limit = limitNow(clock.now()), queued = queue.size)
    }

    private fun limitNow(now: Duration): Int =
        if (isDraining) 0 else reachability.limit(now, running.size, limit.current(now))

    private fun admit(waiting: QueuedRequest): Admission {
        val now = clock.now()
        refusalOf(waiting, now)?.let { return refused(it, now) }
        return when (verdictOf(waiting)) {
            Verdict.QUARANTINED -> refused(ResultCode.QUARANTINED, now)
            Verdict.SUSPECT -> admitSuspect(waiting, now)
            Verdict.CLEAR -> admitClear(waiting, now)
        }
    }

    private fun admitClear(waiting: QueuedRequest, now: Duration): Admission {
        if (queue.isEmpty && hasFreeSlot(now)) return Admission.Admitted(start(waiting, now, isExclusive = false))
        if (reachability.isBackingOff(now)) return refused(ResultCode.TARGET_DOWN, now)
        val wait = expectedWait(now)
        val late = wait > settings.maxQueueWait || wait + limit.serviceTime > waiting.request.remaining
        if (late || !queue.offer(waiting, waiting.deadline)) return refused(noCapacityCode(now), now)
        return Admission.Queued(waiting)
    }

    private fun admitSuspect(waiting: QueuedRequest, now: Duration): Admission {
        if (reachability.isBackingOff(now)) return refused(ResultCode.TARGET_DOWN, now)
        if (!exclusiveRun.reserve(waiting, now)) return refused(ResultCode.SUSPECT_BUSY, now)
        if (running.isNotEmpty()) return Admission.Queued(waiting)
        exclusiveRun.pollWaiting()
        return Admission.Admitted(start(waiting, now, isExclusive = true))
    }

    /** Returns why [waiting] must not start now regardless of the limit, or null. */
    private fun refusalOf(waiting: QueuedRequest, now: Duration): ResultCode? {
        updateTakenOut(now)
        return when {
            !dependencies.canAcceptWork() -> ResultCode.AWAKENING
            isDraining -> ResultCode.DRAINING
            wasTakenOut -> ResultCode.FAILURE_DOMAIN_TAKEN_OUT
            region !in waiting.request.homeRegions -> ResultCode.WRONG_REGION
            now >= waiting.deadline -> ResultCode.DEADLINE_PASSED
            else -> null
        }
    }

    private fun updateTakenOut(now: Duration) {
        val takenOut = dependencies.isTakenOut()
        if (wasTakenOut && !takenOut) limit.restartRamp(LimitCutReason.DOMAIN_RETURNED, now)
        wasTakenOut = takenOut
    }

    private fun hasFreeSlot(now: Duration): Boolean =
        !exclusiveRun.isReserved && running.size < limitNow(now)

    private fun expectedWait(now: Duration): Duration =
        limit.serviceTime * ((queue.size + 1).toDouble() / limit.current(now))

    private fun noCapacityCode(now: Duration): ResultCode = when {
        reachability.isBackingOff(now) -> ResultCode.TARGET_DOWN
        limit.isCold(now) -> ResultCode.TARGET_COLD
        else -> ResultCode.TARGET_FULL
    }

    private fun start(waiting: QueuedRequest, now: Duration, isExclusive: Boolean): Ticket {
        val ticket = Ticket(waiting.request, now, isExclusive)
        running += ticket
        reachability.recordAttempt(now)
        return ticket
    }

    /** Refuses expired requests and starts queued ones as far as the current limit allows. */
    private fun dispatchQueue(now: Duration, callbacks: DeferredCallbacks) {
        dispatchSuspect(now, callbacks)
        refuseExpired(now, callbacks)
        while (!queue.isEmpty && hasFreeSlot(now)) {
            val waiting = queue.poll() ?: break
            decideQueued(waiting, now, callbacks) { Admission.Admitted(start(waiting, now, isExclusive = false)) }
        }
        if (isDraining && running.isEmpty()) drainCallback?.let { callbacks += it }.also { drainCallback = null }
    }

    private fun dispatchSuspect(now: Duration, callbacks: DeferredCallbacks) {
        val late = exclusiveRun.pollTimedOut(now)
        if (late != null) {
            val refusal = refused(refusalOf(late, now) ?: ResultCode.SUSPECT_BUSY, now)
            callbacks += { late.onDecided(refusal) }
        }
        if (running.isNotEmpty()) return
        val waiting = exclusiveRun.pollWaiting() ?: return
        decideQueued(waiting, now, callbacks) { Admission.Admitted(start(waiting, now, isExclusive = true)) }
        if (running.isEmpty()) exclusiveRun.release(now)
    }

    private fun refuseExpired(now: Duration, callbacks: DeferredCallbacks) {
        val mustStop = isDraining || wasTakenOut || reachability.isBackingOff(now) || !dependencies.canAcceptWork()
        val late = queue.removeIf { waiting ->
            mustStop || now - waiting.queuedAt > settings.maxQueueWait || waiting.deadline - now < limit.serviceTime
        }
        for (waiting in late) {
            val refusal = refused(refusalOf(waiting, now) ?: noCapacityCode(now), now)
            callbacks += { waiting.onDecided(refusal) }
        }
    }

    private fun verdictOf(waiting: QueuedRequest): Verdict =
        dependencies.verdict(waiting.request.fingerprint, waiting.request.suspect)

    private inline fun decideQueued(
        waiting: QueuedRequest,
        now: Duration,
        callbacks: DeferredCallbacks,
        admit: () -> Admission,
    ) {
        val code = refusalOf(waiting, now) ?: quarantineOf(waiting)
        val admission = if (code != null) refused(code, now) else admit()
        callbacks += { waiting.onDecided(admission) }
    }

    private fun quarantineOf(waiting: QueuedRequest): ResultCode? =
        ResultCode.QUARANTINED.takeIf { verdictOf(waiting) == Verdict.QUARANTINED }

    private fun refused(code: ResultCode, now: Duration): Admission.Refused {
        counters.gateRefused(code)
        val backlog = (queue.size + running.size + 1).toDouble() / limit.current(now)
        return Admission.Refused(code, retryAfter(limit.serviceTime * backlog, random))
    }

    private fun finish(ticket: Ticket, result: TargetResult, callbacks: DeferredCallbacks) {
        if (!running.remove(ticket)) return
        val now = clock.now()
        if (ticket.isExclusive) exclusiveRun.release(now)
        record(ticket, result, now, callbacks)
        dispatchQueue(now, callbacks)
    }

    private fun record(ticket: Ticket, result: TargetResult, now: Duration, callbacks: DeferredCallbacks) {
        when (result) {
            is TargetResult.Answered -> recordResponse(ticket, result.status, now, callbacks)
            TargetResult.ConnectRefused -> recordConnectionRefusal(now, callbacks)
            TargetResult.ConnectionLost -> recordConnectionLoss(ticket, now, callbacks)
            TargetResult.TimedOut -> limit.recordTimeout(ticket.startedAt, now)
            TargetResult.Cancelled -> Unit
        }
    }

    private fun recordResponse(ticket: Ticket, status: Int, now: Duration, callbacks: DeferredCallbacks) {
        reachability.recordResponse(ticket.startedAt)
        if (status in OVERLOAD_STATUSES) return limit.recordOverload(ticket.startedAt, now)
        limit.recordResponse(ticket.request.route, ticket.startedAt, now, running.size + 1)
        callbacks += { dependencies.answered(ticket.request.fingerprint) }
    }

    private fun recordConnectionRefusal(now: Duration, callbacks: DeferredCallbacks) {
        val lostRequests = reachability.recordRefusal(now)
        limit.restartRamp(LimitCutReason.TARGET_DIED, now)
        if (lostRequests.isNotEmpty()) callbacks += { dependencies.targetCrashed(lostRequests) }
    }

    private fun recordConnectionLoss(ticket: Ticket, now: Duration, callbacks: DeferredCallbacks) {
        reachability.recordLoss(ticket.request, now)
        val hasSurvivor = running.any { it.startedAt <= reachability.firstLossAt }
        if (hasSurvivor) return
        val lostRequests = reachability.pollLostRequests()
        limit.restartRamp(LimitCutReason.TARGET_DIED, now)
        callbacks += { dependencies.targetCrashed(lostRequests) }
    }

    private inline fun <T> withLock(block: (DeferredCallbacks) -> T): T {
        val callbacks = DeferredCallbacks()
        val result = synchronized(lock) { block(callbacks) }
        callbacks.run()
        return result
    }

    private inner class Ticket(
        val request: AdmissionRequest,
        val startedAt: Duration,
        val isExclusive: Boolean,
    ) : AdmissionTicket {
        override fun finish(result: TargetResult) = withLock { finish(this, result, it) }
    }

    private inner class QueuedRequest(
        val request: AdmissionRequest,
        val queuedAt: Duration,
        val onDecided: (Admission) -> Unit,
    ) : QueuedAdmission {
        val deadline: Duration = queuedAt + request.remaining

        override fun cancel(): Boolean = synchronized(lock) { queue.remove(this) || exclusiveRun.cancel(this) }
    }
}

/** Callbacks to run after the lock is released. */
private class DeferredCallbacks {
    private val callbacks = ArrayList<() -> Unit>(0)

    operator fun plusAssign(callback: () -> Unit) {
        callbacks += callback
    }

    fun run() = callbacks.forEach { it() }
}

private val OVERLOAD_STATUSES = setOf(429, 503)
