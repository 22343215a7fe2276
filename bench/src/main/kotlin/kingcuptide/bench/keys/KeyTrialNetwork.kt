package kingcuptide.bench.keys

import kingcuptide.bench.requests.VirtualTime
import kingcuptide.coordination.connection.KeyMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.KeyClaimer
import kingcuptide.coordination.request.KeyDecision
import kingcuptide.coordination.request.KeySettings
import kingcuptide.coordination.request.KeyWitness
import kingcuptide.coordination.request.KeyedRequest
import kingcuptide.coordination.request.WitnessView
import kingcuptide.coordination.request.keyClaimer
import kingcuptide.coordination.request.keyWitness
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Daemons of a [KeyTrial], connected by a simulated network with latency and message loss. */
internal class KeyTrialNetwork(
    private val time: VirtualTime,
    private val random: Random,
    private val messageLoss: Double,
    hosts: List<HostId>,
    private val view: WitnessView,
    private val settings: KeySettings,
    private val policy: KeyPolicy,
) {
    private val daemons = hosts.associateWith { Daemon(it) }

    /** Starts all daemons. */
    fun start() {
        daemons.values.forEach { it.startProcess() }
        time.every(TICK_INTERVAL) {
            for (daemon in daemons.values.filter { it.isRunning }) {
                daemon.witness.tick()
                send(daemon, daemon.claimer.tick())
            }
        }
        time.every(1.seconds) { daemons.values.filter { it.isRunning }.forEach { it.confirm() } }
    }

    /** Sends [call] to its gate; [onRun] is called when the target executes it. */
    fun request(
        call: KeyCall,
        onRun: () -> Unit,
    ) {
        val sentAt = time.now()
        toDaemon(call.gate) { daemon ->
            if (time.now() - sentAt > MAX_TRANSIT || time.now() >= call.deadline) {
                call.end(KeyCallResult.REFUSED)
            } else {
                daemon.execute(call, onRun)
            }
        }
    }

    /** Kills the daemon of [host] and its target; it restarts without state after [RESTART_DELAY]. */
    fun kill(host: HostId) {
        val daemon = daemons.getValue(host)
        if (daemon.isUp) {
            daemon.isUp = false
            time.after(RESTART_DELAY) { daemon.startProcess() }
        }
    }

    /** Pauses the process of [host] for [duration]; messages that arrive meanwhile are delayed. */
    fun freeze(
        host: HostId,
        duration: Duration,
    ) {
        val daemon = daemons.getValue(host)
        daemon.frozenUntil = maxOf(daemon.frozenUntil, time.now() + duration)
    }

    private fun send(
        from: Daemon,
        outbound: List<Outbound>,
    ) {
        for (out in outbound) {
            val message = out.message as KeyMessage
            val isLocal = out.to == from.host
            if (!isLocal && random.nextDouble() < messageLoss) {
                continue
            }
            time.after(if (isLocal) Duration.ZERO else delay()) {
                toDaemon(out.to) { daemon ->
                    send(daemon, daemon.witness.receive(from.host, message))
                    send(daemon, daemon.claimer.receive(from.host, message))
                }
            }
        }
    }

    private fun toDaemon(
        host: HostId,
        action: (Daemon) -> Unit,
    ) {
        val daemon = daemons.getValue(host)
        val processNumber = daemon.processNumber
        daemon.whenResumed { if (daemon.isUp && daemon.processNumber == processNumber) action(daemon) }
    }

    private fun delay(): Duration = 0.2.milliseconds + 6.milliseconds * random.nextDouble()

    private inner class Daemon(
        val host: HostId,
    ) {
        var isUp = false
        var processNumber = 0L
        var frozenUntil = Duration.ZERO
        lateinit var witness: KeyWitness
        lateinit var claimer: KeyClaimer
        private val executedKeys = HashMap<String, Boolean>()

        val isRunning: Boolean
            get() = isUp && time.now() >= frozenUntil

        fun startProcess() {
            processNumber++
            isUp = true
            frozenUntil = Duration.ZERO
            executedKeys.clear()
            witness = keyWitness(host, time, settings)
            claimer = keyClaimer(host, Incarnation(processNumber), time, settings)
            confirm()
        }

        fun confirm() {
            witness.confirm(view)
            claimer.confirm(view)
        }

        fun whenResumed(action: () -> Unit) {
            val wait = frozenUntil - time.now()
            if (wait <= Duration.ZERO) action() else time.after(wait) { whenResumed(action) }
        }

        fun execute(
            call: KeyCall,
            onRun: () -> Unit,
        ) {
            when (policy) {
                KeyPolicy.GATE_TABLE -> executeByTable(call, onRun)
                KeyPolicy.WITNESSES -> executeByClaim(call, onRun)
            }
        }

        private fun executeByTable(
            call: KeyCall,
            onRun: () -> Unit,
        ) {
            if (executedKeys.put(call.key, true) == null) {
                runAtTarget(call, onRun) {}
            } else {
                call.end(KeyCallResult.ALREADY_USED)
            }
        }

        private fun executeByClaim(
            call: KeyCall,
            onRun: () -> Unit,
        ) {
            val outbound = claimer.start(KeyedRequest(call.key, emptySet(), call.deadline)) { decision ->
                when (decision) {
                    is KeyDecision.Refused -> call.end(resultOf(decision))
                    is KeyDecision.Granted -> afterDispatch { begin(call, decision, onRun) }
                }
            }
            send(this, outbound)
        }

        private fun begin(
            call: KeyCall,
            granted: KeyDecision.Granted,
            onRun: () -> Unit,
        ) {
            if (claimer.begin(granted.claim).isErr) {
                send(this, claimer.release(granted.claim))
                return call.end(KeyCallResult.REFUSED)
            }
            runAtTarget(call, onRun) { send(this, claimer.complete(granted.claim, status = 201)) }
        }

        private fun runAtTarget(
            call: KeyCall,
            onRun: () -> Unit,
            onDone: () -> Unit,
        ) {
            onRun()
            val runTime =
                TARGET_RUN_TIME.start + (TARGET_RUN_TIME.endInclusive - TARGET_RUN_TIME.start) * random.nextDouble()
            time.after(runTime) {
                afterDispatch {
                    onDone()
                    call.end(KeyCallResult.ANSWERED)
                }
            }
        }

        private fun afterDispatch(action: () -> Unit) {
            val started = processNumber
            // The process may be paused or killed between a decision and its execution.
            time.after(DISPATCH_DELAY) { whenResumed { if (isUp && processNumber == started) action() } }
        }

        private fun resultOf(refused: KeyDecision.Refused): KeyCallResult =
            if (refused.code == ResultCode.KEY_ALREADY_USED) KeyCallResult.ALREADY_USED else KeyCallResult.REFUSED
    }

    private companion object {
        val TICK_INTERVAL = 50.milliseconds
        val MAX_TRANSIT = 1.seconds
        val RESTART_DELAY = 2.seconds
        val DISPATCH_DELAY = 0.1.milliseconds
    }
}
