package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Runs one row of the fault matrix: sends the key, injects each fault at its step and sends the key again. */
internal class KeyFaultRun(
    private val faults: Map<KeyStep, KeyFault>,
    rules: KeyRules = keyRules(testKeySettings),
) {
    private val settings = testKeySettings
    private val entries = listOf(
        hostEntry("a1", "d1"),
        hostEntry("a2", "d1"),
        hostEntry("b1", "d2"),
        hostEntry("c1", "d3"),
        hostEntry("gate", "d4"),
        hostEntry("other", "d4"),
    )
    private val hosts = entries.map { it.host }
    private val gate = HostId("gate")
    private val disconnected = mutableSetOf<HostId>()
    private var view = viewOf(entries)
    private val unconfirmed = mutableSetOf<HostId>()
    private val key = keyWithFirstWitnessIn(view, setOf("a1", "a2"))
    private val firstWitness = checkNotNull(view.witnesses(key, emptySet())[0])
    private val witnesses = view.witnesses(key, emptySet()).filterNotNull()
    val simulation = KeySimulation(hosts, settings, rules)

    init {
        advance(settings.holdOff * 2)
    }

    /** Runs the row and returns the result of the second request. */
    fun play(
        lastStep: KeyStep,
        resend: Resend,
        secondGate: SecondGate,
    ): ResendResult {
        val sentAt = simulation.clock.now()
        simulation.send(gate, key)
        inject(KeyStep.CLAIM_SENT)
        for (step in KeyStep.entries.filter { it in KeyStep.ONE_WITNESS_GRANTED..lastStep }) {
            advanceTo(step, lastStep)
            inject(step)
        }
        advance(sentAt + settings.resendWindow * resend.windows - simulation.clock.now())
        val runsBefore = simulation.runs.size
        val refusedBefore = simulation.refused.size
        simulation.send(if (secondGate == SecondGate.SAME) gate else HostId("other"), key)
        settle()
        runGranted()
        resumeAll()
        return when {
            simulation.runs.size > runsBefore -> ResendResult.RAN
            simulation.refused.size == refusedBefore -> ResendResult.NO_DECISION
            else -> ResendResult.of(simulation.refused.last())
        }
    }

    private fun advanceTo(
        step: KeyStep,
        lastStep: KeyStep,
    ) {
        when (step) {
            KeyStep.CLAIM_SENT -> Unit
            KeyStep.ONE_WITNESS_GRANTED -> simulation.network.firstOrNull {
                it.to !in disconnected
            }?.let { simulation.deliver(it) }
            KeyStep.GRANTED -> settle()
            KeyStep.BEGUN -> if (lastStep != KeyStep.RELEASED) runGranted()
            KeyStep.COMPLETED -> if (lastStep == KeyStep.COMPLETED) settle()
            KeyStep.RELEASED -> simulation.granted.toList().filter {
                it.host !in simulation.paused
            }.forEach { simulation.release(it) }
        }
    }

    private fun inject(step: KeyStep) {
        when (faults[step] ?: KeyFault.NONE) {
            KeyFault.NONE -> Unit
            KeyFault.GATE_KILLED -> simulation.restart(gate)
            KeyFault.GATE_PAUSED_PAST_WINDOW -> simulation.paused += gate
            KeyFault.FIRST_WITNESS_RESTARTED -> simulation.restart(firstWitness)
            KeyFault.TWO_WITNESSES_RESTARTED -> witnesses.take(2).forEach { simulation.restart(it) }
            KeyFault.ALL_RESTARTED -> hosts.forEach { simulation.restart(it) }
            KeyFault.FIRST_WITNESS_PAUSED -> simulation.paused += firstWitness
            KeyFault.FIRST_WITNESS_DISCONNECTED -> disconnected += firstWitness
            KeyFault.TWO_WITNESSES_DISCONNECTED -> disconnected += witnesses.take(2)
            KeyFault.ALL_MESSAGES_LOST -> simulation.network.clear()
            KeyFault.ALL_MESSAGES_DUPLICATED -> simulation.network += simulation.network.toList()
            KeyFault.ALL_MESSAGES_REVERSED -> simulation.network.reverse()
            KeyFault.FIRST_WITNESS_REPLACED -> view = viewOf(entries.filter { it.host != firstWitness })
            KeyFault.FIRST_WITNESS_REPLACED_BUT_GATE_UNAWARE -> replaceFirstWitnessUnknownToGate()
        }
        confirmAll()
    }

    private fun replaceFirstWitnessUnknownToGate() {
        unconfirmed += gate
        view = viewOf(entries.filter { it.host != firstWitness })
    }

    private fun runGranted() {
        for (claim in simulation.granted.filter { it.host !in simulation.paused }) {
            if (simulation.run(claim)) {
                simulation.complete(claim)
            }
        }
    }

    /** Delivers messages and lets claims time out, within the maximum start delay of a request. */
    private fun settle() {
        repeat(TICKS_TO_SETTLE) {
            simulation.clock.time += oneTick
            confirmAll()
            simulation.network.removeAll { it.to in disconnected || it.from in disconnected }
            simulation.deliverAll()
            hosts.filter { it !in simulation.paused }.forEach { simulation.tick(it) }
        }
        simulation.deliverAll()
    }

    private fun resumeAll() {
        advance(settings.resendWindow)
        simulation.paused.clear()
        settle()
        runGranted()
    }

    private fun advance(duration: Duration) {
        var remaining = duration
        while (remaining > Duration.ZERO) {
            val step = minOf(remaining, 1.seconds)
            simulation.clock.time += step
            remaining -= step
            confirmAll()
            hosts.filter { it !in simulation.paused }.forEach { simulation.tick(it) }
        }
    }

    private fun confirmAll() {
        hosts.filter { it !in simulation.paused && it !in unconfirmed }.forEach { simulation.confirm(it, view) }
    }

    private companion object {
        const val TICKS_TO_SETTLE = 8
    }
}

/** Result of a resend. */
internal enum class ResendResult {
    RAN,
    ALREADY_USED,
    NOT_GRANTED,
    NO_DECISION,
    ;

    companion object {
        fun of(decision: KeyDecision.Refused): ResendResult =
            if (decision.code ==
                ResultCode.KEY_ALREADY_USED
            ) {
                ALREADY_USED
            } else {
                NOT_GRANTED
            }
    }
}
