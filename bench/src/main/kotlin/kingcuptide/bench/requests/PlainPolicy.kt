package kingcuptide.bench.requests

import kingcuptide.coordination.process.HostState
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlin.random.Random

/** The plain baseline: a random target among those known to be usable, up to [MAX_RETRIES] retries, no gate. */
class PlainPolicy(
    private val fleet: FakeFleet,
    private val random: Random,
) : Policy {
    override fun start(call: Call, onResult: (CallResult) -> Unit): () -> Unit {
        val attempt = Attempts(call, onResult)
        attempt.next()
        return { attempt.end(ResultCode.CANCELLED, Outcome.UNKNOWN) }
    }

    override fun drain(host: FakeHost, onDrained: () -> Unit) {
        host.leavingSince = fleet.time.now()
        awaitIdle(host, onDrained)
    }

    override fun restarted(host: FakeHost) = Unit

    private fun awaitIdle(host: FakeHost, onDrained: () -> Unit) {
        val idle = host.target?.inFlight == 0
        if (idle) onDrained() else fleet.time.after(FakeFleet.CONNECT_TIMEOUT) { awaitIdle(host, onDrained) }
    }

    private fun choose(entry: FakeHost): FakeHost? {
        val view = fleet.viewOf(entry)
        val usable = fleet.targets().filter {
            it.entry.state == HostState.LIVE &&
                view.liveness(it.entry.host) == Liveness.ALIVE &&
                !fleet.isTakenOut(entry.entry.host, it.entry.failureDomain)
        }
        return usable.randomOrNull(random)
    }

    private inner class Attempts(private val call: Call, private val onResult: (CallResult) -> Unit) {
        private var attempts = 0
        private var ended = false
        private var cancelAtTarget: () -> Unit = {}

        fun next() {
            if (ended) return
            val host = choose(call.entry) ?: return end(ResultCode.NO_TARGET, Outcome.NOT_RUN)
            attempts++
            val attempt = attempts
            if (attempt == 1) fleet.time.after(call.deadline - fleet.time.now()) { timeOut() }
            fleet.call(
                from = call.entry,
                to = host,
                onUnreachable = { failed(attempt, ResultCode.PEER_UNREACHABLE) },
                onLost = { failed(attempt, ResultCode.ANSWER_LOST) },
            ) { deliver(host, attempt) }
        }

        private fun deliver(host: FakeHost, attempt: Int) {
            if (ended) return
            cancelAtTarget = host.target!!.submit(call.id) { result ->
                fleet.send(host, call.entry) { handleResult(attempt, result) }
            }
        }

        private fun handleResult(attempt: Int, result: FakeTargetResult) {
            when (result) {
                FakeTargetResult.ANSWERED -> end(null, null)
                FakeTargetResult.CONNECT_REFUSED -> failed(attempt, ResultCode.TARGET_DOWN)
                FakeTargetResult.OVERLOADED, FakeTargetResult.CONNECTION_LOST -> failed(attempt, ResultCode.TARGET_DIED)
            }
        }

        private fun failed(attempt: Int, code: ResultCode) {
            if (ended || attempt != attempts) return
            val mayRetry = call.idempotent || code.outcome == Outcome.NOT_RUN
            if (mayRetry && attempts <= MAX_RETRIES) next() else end(code, code.outcome)
        }

        private fun timeOut() {
            cancelAtTarget()
            end(ResultCode.DEADLINE_PASSED_RUNNING, Outcome.UNKNOWN)
        }

        fun end(code: ResultCode?, outcome: Outcome?) {
            if (ended) return
            ended = true
            onResult(CallResult(call, code, outcome, null, attempts))
        }
    }

    private companion object {
        const val MAX_RETRIES = 3
    }
}
