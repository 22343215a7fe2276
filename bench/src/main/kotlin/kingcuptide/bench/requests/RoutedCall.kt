package kingcuptide.bench.requests

import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Admission
import kingcuptide.coordination.request.AdmissionRequest
import kingcuptide.coordination.request.AdmissionTicket
import kingcuptide.coordination.request.AttemptOutcome
import kingcuptide.coordination.request.ChoiceRequest
import kingcuptide.coordination.request.FailedAttempt
import kingcuptide.coordination.request.HomeRegionCheck
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.RetryContext
import kingcuptide.coordination.request.RetryDecision
import kingcuptide.coordination.request.TargetChoice
import kingcuptide.coordination.request.TargetResult
import kingcuptide.coordination.request.Verdict
import kingcuptide.coordination.request.attemptOutcomeOf
import kingcuptide.coordination.request.checkHomeRegion
import kingcuptide.coordination.request.codeAfterEarlierAttempts
import kingcuptide.coordination.request.decideRetry
import kotlin.time.Duration

/** One call decided by the real code: the side of the entry daemon, and for each attempt the side of the gate. */
internal class RoutedCall(
    private val policy: RoutedPolicy,
    private val call: Call,
    private val onResult: (CallResult) -> Unit,
) {
    private val fleet = policy.fleet
    private val entry = policy.daemon(call.entry)
    private val tried = ArrayList<HostId>()
    private var suspect = false
    private var mayHaveRun = false
    private var ended = false
    private var current: Attempt? = null

    fun start() {
        if (checkHomeRegion(call.entry.entry.region, call.homeRegions) != HomeRegionCheck.Allowed) {
            return end(ResultCode.WRONG_REGION, Outcome.NOT_RUN, null)
        }
        entry.budget.recordFirstAttempt()
        policy.observer(Step.ACCEPTED, call, call.entry.entry.host)
        fleet.onDaemon(call.entry, call.deadline - fleet.time.now()) { stop(ResultCode.DEADLINE_PASSED_RUNNING) }
        attempt()
    }

    fun onCallerGone() = stop(ResultCode.CANCELLED)

    private fun attempt() {
        val request = ChoiceRequest(
            service = FleetShape.SERVICE,
            slots = policy.service.slots,
            homeRegions = call.homeRegions,
            isTakenOut = { fleet.isTakenOut(call.entry.entry.host, it) },
            tried = tried.toSet(),
        )
        when (val choice = entry.chooser.choose(request)) {
            is TargetChoice.None -> endWithoutTarget(choice)
            is TargetChoice.Chosen -> Attempt(fleet.hosts.getValue(choice.entry.host)).also { current = it }.start()
        }
    }

    private fun endWithoutTarget(choice: TargetChoice.None) {
        val code = codeAfterEarlierAttempts(choice.code, mayHaveRun)
        end(code, code.outcome, choice.retryAfter)
    }

    private fun decideAfterFailure(host: HostId, code: ResultCode, outcome: Outcome, retryAfter: Duration?) {
        if (code == ResultCode.TARGET_DIED) suspect = true
        val state = RetryContext(
            idempotent = call.idempotent,
            level = call.level,
            tried = tried,
            mayHaveRun = mayHaveRun,
            maxRetries = policy.route.maxRetries,
            retryBudgetPercent = policy.route.retryBudgetPercent,
            remaining = call.deadline - fleet.time.now(),
            suspect = entry.suspects.verdict(call.fingerprint) != Verdict.CLEAR,
        )
        val failed = FailedAttempt(host, code, outcome, retryAfter)
        when (val decision = decideRetry(failed, state, entry.budget, policy.random, policy.counters)) {
            is RetryDecision.Retry -> {
                mayHaveRun = mayHaveRun || outcome == Outcome.UNKNOWN
                policy.observer(Step.RETRIED, call, host)
                attempt()
            }
            is RetryDecision.GiveUp -> end(decision.code, decision.outcome, decision.retryAfter)
        }
    }

    private fun stop(code: ResultCode) {
        if (ended) return
        current?.cancel()
        end(code, Outcome.UNKNOWN, null)
    }

    private fun end(code: ResultCode?, outcome: Outcome?, retryAfter: Duration?) {
        if (ended) return
        ended = true
        onResult(CallResult(call, code, outcome, retryAfter, maxOf(1, tried.size)))
    }

    private inner class Attempt(private val host: FakeHost) {
        private var finished = false
        private var stopTracking: () -> Unit = {}
        private val gateSide = GateSide(host)

        fun start() {
            tried += host.entry.host
            entry.chooser.begin(host.entry.host)
            policy.observer(Step.CHOSEN, call, host.entry.host)
            stopTracking = fleet.call(
                from = call.entry,
                to = host,
                onUnreachable = { fail(ResultCode.PEER_UNREACHABLE) },
                onLost = {
                    gateSide.connectionBroke()
                    fail(ResultCode.ANSWER_LOST)
                },
                onDelivered = { gateSide.receive(::reply) },
            )
        }

        fun cancel() {
            if (finished) return
            finished = true
            stopTracking()
            entry.chooser.finish(host.entry.host, AttemptOutcome.ABANDONED)
            fleet.send(call.entry, host) { gateSide.cancel() }
        }

        private fun reply(code: ResultCode?, retryAfter: Duration?, load: GateLoad) {
            fleet.send(host, call.entry) {
                if (code != null) return@send fail(code, retryAfter, load)
                if (finished) return@send
                finished = true
                stopTracking()
                entry.chooser.finish(host.entry.host, AttemptOutcome.ANSWERED, load)
                end(null, null, null)
            }
        }

        private fun fail(code: ResultCode, retryAfter: Duration? = null, load: GateLoad? = null) {
            if (finished) return
            finished = true
            stopTracking()
            entry.chooser.finish(host.entry.host, attemptOutcomeOf(code), load)
            if (!ended) decideAfterFailure(host.entry.host, code, code.outcome ?: Outcome.UNKNOWN, retryAfter)
        }
    }

    /** The side of the daemon that runs the gate, for one attempt. */
    private inner class GateSide(private val host: FakeHost) {
        private val daemon = policy.daemon(host)
        private var ticket: AdmissionTicket? = null
        private var cancelled = false
        private var cancelAtTarget: () -> Unit = {}

        fun receive(reply: (ResultCode?, Duration?, GateLoad) -> Unit) {
            if (cancelled) return
            policy.observer(Step.ARRIVED, call, host.entry.host)
            val request = AdmissionRequest(
                route = RoutedPolicy.ROUTE,
                homeRegions = call.homeRegions,
                remaining = call.deadline - fleet.time.now(),
                fingerprint = call.fingerprint,
                suspect = suspect,
            )
            handle(daemon.gate.tryAdmit(request) { handle(it, reply) }, reply)
        }

        fun cancel() {
            cancelled = true
            cancelAtTarget()
            ticket?.finish(TargetResult.Cancelled)
        }

        /**
         * Handles a broken connection to the entry: a running daemon detects it, a stopped one has closed sockets.
         *
         * A frozen daemon does not cancel; it only refuses the attempt if it has not yet received it.
         */
        fun connectionBroke() {
            if (!host.isUp || host.frozenEvents == null) cancel() else cancelled = true
        }

        private fun handle(admission: Admission, reply: (ResultCode?, Duration?, GateLoad) -> Unit) {
            when (admission) {
                is Admission.Queued -> Unit
                is Admission.Refused -> reply(admission.code, admission.retryAfter, daemon.gate.load())
                is Admission.Admitted -> forward(admission.ticket, reply)
            }
        }

        private fun forward(granted: AdmissionTicket, reply: (ResultCode?, Duration?, GateLoad) -> Unit) {
            ticket = granted
            if (cancelled) return granted.finish(TargetResult.Cancelled)
            cancelAtTarget = host.target!!.submit(call.id) { result ->
                fleet.onDaemon(host, Duration.ZERO) { onTargetResult(granted, result, reply) }
            }
            policy.observer(Step.FORWARDED, call, host.entry.host)
        }

        private fun onTargetResult(
            granted: AdmissionTicket,
            result: FakeTargetResult,
            reply: (ResultCode?, Duration?, GateLoad) -> Unit,
        ) {
            granted.finish(targetResultOf(result))
            policy.observer(Step.ANSWERED, call, host.entry.host)
            val code = when (result) {
                FakeTargetResult.ANSWERED -> null
                FakeTargetResult.OVERLOADED -> ResultCode.TARGET_OVERLOADED
                FakeTargetResult.CONNECT_REFUSED -> ResultCode.TARGET_DOWN
                FakeTargetResult.CONNECTION_LOST -> ResultCode.TARGET_DIED
            }
            reply(code, null, daemon.gate.load())
        }

        private fun targetResultOf(result: FakeTargetResult): TargetResult = when (result) {
            FakeTargetResult.ANSWERED -> TargetResult.Answered(status = 200)
            FakeTargetResult.OVERLOADED -> TargetResult.Answered(status = 503)
            FakeTargetResult.CONNECT_REFUSED -> TargetResult.ConnectRefused
            FakeTargetResult.CONNECTION_LOST -> TargetResult.ConnectionLost
        }
    }
}
