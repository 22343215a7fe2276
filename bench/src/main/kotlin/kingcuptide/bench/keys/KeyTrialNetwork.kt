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

/** The daemons of a [KeyTrial], with messages that take time and may be lost. */
internal class KeyTrialNetwork(
    private val time: VirtualTime,
    private val random: Random,
    private val loss: Double,
    hosts: List<HostId>,
    private val view: WitnessView,
    private val settings: KeySettings,
    private val policy: KeyPolicy,
) {
    private val daemons = hosts.associateWith { Daemon(it) }

    /** Starts all daemons. */
    fun start() {
        daemons.values.forEach { it.boot() }
        time.every(TICK) {
            for (daemon in daemons.values.filter { it.isRunning }) {
                daemon.witness.tick()
                post(daemon, daemon.claimer.tick())
            }
        }
        time.every(1.seconds) { daemons.values.filter { it.isRunning }.forEach { it.confirm() } }
    }

    /** Brings [call] to its gate; [onRun] is called when it runs. */
    fun request(
        call: KeyCall,
        onRun: () -> Unit,
    ) {
        val sentAt = time.now()
        toDaemon(call.gate) { daemon ->
            if (time.now() - sentAt > MAX_TRANSIT || time.now() >= call.deadline) {
                call.end(KeyCallEnd.REFUSED)
            } else {
                daemon.admit(call, onRun)
            }
        }
    }

    /** Kills [host] with its target; it restarts after a while and knows nothing. */
    fun kill(host: HostId) {
        val daemon = daemons.getValue(host)
        if (daemon.isUp) {
            daemon.isUp = false
            time.after(RESTART_TIME) { daemon.boot() }
        }
    }

    /** Stops [host] for [duration]; what arrives meanwhile waits. */
    fun freeze(
        host: HostId,
        duration: Duration,
    ) {
        val daemon = daemons.getValue(host)
        daemon.frozenUntil = maxOf(daemon.frozenUntil, time.now() + duration)
    }

    private fun post(
        from: Daemon,
        outbound: List<Outbound>,
    ) {
        for (out in outbound) {
            val message = out.message as KeyMessage
            val isLocal = out.to == from.host
            if (!isLocal && random.nextDouble() < loss) {
                continue
            }
            time.after(if (isLocal) Duration.ZERO else delay()) {
                toDaemon(out.to) { daemon ->
                    post(daemon, daemon.witness.receive(from.host, message))
                    post(daemon, daemon.claimer.receive(from.host, message))
                }
            }
        }
    }

    private fun toDaemon(
        host: HostId,
        action: (Daemon) -> Unit,
    ) {
        val daemon = daemons.getValue(host)
        val process = daemon.process
        daemon.whenAwake { if (daemon.isUp && daemon.process == process) action(daemon) }
    }

    private fun delay(): Duration = 0.2.milliseconds + 6.milliseconds * random.nextDouble()

    private inner class Daemon(
        val host: HostId,
    ) {
        var isUp = false
        var process = 0L
        var frozenUntil = Duration.ZERO
        lateinit var witness: KeyWitness
        lateinit var claimer: KeyClaimer
        private val ranHere = HashMap<String, Boolean>()

        val isRunning: Boolean
            get() = isUp && time.now() >= frozenUntil

        fun boot() {
            process++
            isUp = true
            frozenUntil = Duration.ZERO
            ranHere.clear()
            witness = keyWitness(host, time, settings)
            claimer = keyClaimer(host, Incarnation(process), time, settings)
            confirm()
        }

        fun confirm() {
            witness.confirm(view)
            claimer.confirm(view)
        }

        fun whenAwake(action: () -> Unit) {
            val wait = frozenUntil - time.now()
            if (wait <= Duration.ZERO) action() else time.after(wait) { whenAwake(action) }
        }

        fun admit(
            call: KeyCall,
            onRun: () -> Unit,
        ) {
            when (policy) {
                KeyPolicy.GATE_TABLE -> admitByTable(call, onRun)
                KeyPolicy.WITNESSES -> admitByClaim(call, onRun)
            }
        }

        private fun admitByTable(
            call: KeyCall,
            onRun: () -> Unit,
        ) {
            if (ranHere.put(call.key, true) == null) {
                runAtTarget(call, onRun) {}
            } else {
                call.end(KeyCallEnd.ALREADY_USED)
            }
        }

        private fun admitByClaim(
            call: KeyCall,
            onRun: () -> Unit,
        ) {
            val outbound = claimer.start(KeyedRequest(call.key, emptySet(), call.deadline)) { decision ->
                when (decision) {
                    is KeyDecision.Refused -> call.end(endOf(decision))
                    is KeyDecision.Granted -> whenProcessGoesOn { begin(call, decision, onRun) }
                }
            }
            post(this, outbound)
        }

        private fun begin(
            call: KeyCall,
            granted: KeyDecision.Granted,
            onRun: () -> Unit,
        ) {
            if (claimer.begin(granted.claim).isErr) {
                post(this, claimer.release(granted.claim))
                return call.end(KeyCallEnd.REFUSED)
            }
            runAtTarget(call, onRun) { post(this, claimer.complete(granted.claim, status = 201)) }
        }

        private fun runAtTarget(
            call: KeyCall,
            onRun: () -> Unit,
            onDone: () -> Unit,
        ) {
            onRun()
            val took = RUN_TIME.start + (RUN_TIME.endInclusive - RUN_TIME.start) * random.nextDouble()
            time.after(took) {
                whenProcessGoesOn {
                    onDone()
                    call.end(KeyCallEnd.ANSWERED)
                }
            }
        }

        private fun whenProcessGoesOn(action: () -> Unit) {
            val started = process
            // A decision is acted upon a moment later, and the process may freeze or die in between.
            time.after(DISPATCH) { whenAwake { if (isUp && process == started) action() } }
        }

        private fun endOf(refused: KeyDecision.Refused): KeyCallEnd =
            if (refused.code == ResultCode.KEY_ALREADY_USED) KeyCallEnd.ALREADY_USED else KeyCallEnd.REFUSED
    }

    private companion object {
        val TICK = 50.milliseconds
        val MAX_TRANSIT = 1.seconds
        val RESTART_TIME = 2.seconds
        val DISPATCH = 0.1.milliseconds
    }
}
