package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Plays one row of the fault matrix: the key is sent, faults strike at a step each, and the key is sent again. */
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
    private val cut = mutableSetOf<HostId>()
    private var view = viewOf(entries)
    private val unaware = mutableSetOf<HostId>()
    private val key = keyWithFirstWitnessIn(view, setOf("a1", "a2"))
    private val firstWitness = checkNotNull(view.witnesses(key, emptySet())[0])
    private val witnesses = view.witnesses(key, emptySet()).filterNotNull()
    val world = KeyWorld(hosts, settings, rules)

    init {
        pass(settings.holdOff * 2)
    }

    /** Plays the row and returns how the second sending ended. */
    fun play(
        lastStep: KeyStep,
        resend: Resend,
        secondGate: SecondGate,
    ): SecondResult {
        val sentAt = world.clock.now()
        world.send(gate, key)
        strike(KeyStep.CLAIM_SENT)
        for (step in KeyStep.entries.filter { it in KeyStep.ONE_WITNESS_GRANTED..lastStep }) {
            reach(step, lastStep)
            strike(step)
        }
        pass(sentAt + settings.resendWindow * resend.windows - world.clock.now())
        val runsBefore = world.runs.size
        val refusedBefore = world.refused.size
        world.send(if (secondGate == SecondGate.SAME) gate else HostId("other"), key)
        settle()
        runGranted()
        wake()
        return when {
            world.runs.size > runsBefore -> SecondResult.RAN
            world.refused.size == refusedBefore -> SecondResult.NO_DECISION
            else -> SecondResult.of(world.refused.last())
        }
    }

    private fun reach(
        step: KeyStep,
        lastStep: KeyStep,
    ) {
        when (step) {
            KeyStep.CLAIM_SENT -> Unit
            KeyStep.ONE_WITNESS_GRANTED -> world.network.firstOrNull { it.to !in cut }?.let { world.deliver(it) }
            KeyStep.GRANTED -> settle()
            KeyStep.BEGUN -> if (lastStep != KeyStep.RELEASED) runGranted()
            KeyStep.COMPLETED -> if (lastStep == KeyStep.COMPLETED) settle()
            KeyStep.RELEASED -> world.granted.toList().filter { it.host !in world.frozen }.forEach { world.release(it) }
        }
    }

    private fun strike(step: KeyStep) {
        when (faults[step] ?: KeyFault.NONE) {
            KeyFault.NONE -> Unit
            KeyFault.GATE_KILLED -> world.restart(gate)
            KeyFault.GATE_FROZEN_PAST_WINDOW -> world.frozen += gate
            KeyFault.FIRST_WITNESS_RESTARTED -> world.restart(firstWitness)
            KeyFault.TWO_WITNESSES_RESTARTED -> witnesses.take(2).forEach { world.restart(it) }
            KeyFault.ALL_RESTARTED -> hosts.forEach { world.restart(it) }
            KeyFault.FIRST_WITNESS_FROZEN -> world.frozen += firstWitness
            KeyFault.FIRST_WITNESS_CUT -> cut += firstWitness
            KeyFault.TWO_WITNESSES_CUT -> cut += witnesses.take(2)
            KeyFault.ALL_MESSAGES_LOST -> world.network.clear()
            KeyFault.ALL_MESSAGES_REPEATED -> world.network += world.network.toList()
            KeyFault.ALL_MESSAGES_REVERSED -> world.network.reverse()
            KeyFault.FIRST_WITNESS_REPLACED -> view = viewOf(entries.filter { it.host != firstWitness })
            KeyFault.FIRST_WITNESS_REPLACED_BUT_GATE_UNAWARE -> replaceUnnoticed()
        }
        confirmAll()
    }

    private fun replaceUnnoticed() {
        unaware += gate
        view = viewOf(entries.filter { it.host != firstWitness })
    }

    private fun runGranted() {
        for (claim in world.granted.filter { it.host !in world.frozen }) {
            if (world.run(claim)) {
                world.complete(claim)
            }
        }
    }

    /** Lets messages arrive and claims give up, within the time in which a request may still start. */
    private fun settle() {
        repeat(SETTLE_TICKS) {
            world.clock.time += oneTick
            confirmAll()
            world.network.removeAll { it.to in cut || it.from in cut }
            world.deliverAll()
            hosts.filter { it !in world.frozen }.forEach { world.tick(it) }
        }
        world.deliverAll()
    }

    private fun wake() {
        pass(settings.resendWindow)
        world.frozen.clear()
        settle()
        runGranted()
    }

    private fun pass(duration: Duration) {
        var left = duration
        while (left > Duration.ZERO) {
            val step = minOf(left, 1.seconds)
            world.clock.time += step
            left -= step
            confirmAll()
            hosts.filter { it !in world.frozen }.forEach { world.tick(it) }
        }
    }

    private fun confirmAll() {
        hosts.filter { it !in world.frozen && it !in unaware }.forEach { world.confirm(it, view) }
    }

    private companion object {
        const val SETTLE_TICKS = 8
    }
}

/** How a resend ended. */
internal enum class SecondResult {
    RAN,
    ALREADY_USED,
    NOT_GRANTED,
    NO_DECISION,
    ;

    companion object {
        fun of(decision: KeyDecision.Refused): SecondResult =
            if (decision.code ==
                ResultCode.KEY_ALREADY_USED
            ) {
                ALREADY_USED
            } else {
                NOT_GRANTED
            }
    }
}
