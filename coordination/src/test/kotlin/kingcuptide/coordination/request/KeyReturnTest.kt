package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A witness pauses, leaves the host list, is replaced for longer than the hold-off, then resumes and is listed again.
 * If its old views counted towards the hold-off, it could grant a key that its replacement already granted.
 */
internal class KeyReturnTest {
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
    private val listed = viewOf(entries)
    private val key = keyWithFirstWitnessIn(listed, setOf("a1", "a2"))
    private val witnesses = listed.witnesses(key, emptySet()).filterNotNull()
    private val paused = witnesses[0]
    private val unlisted = viewOf(entries.filter { it.host != paused })
    private val successor = checkNotNull(unlisted.witnesses(key, emptySet())[0])

    private fun simulate(rules: KeyRules): KeySimulation {
        val simulation = KeySimulation(hosts, settings, rules)
        advance(simulation, settings.holdOff * 2, listed, hosts)
        advance(simulation, settings.holdOff * 2, unlisted, hosts - paused)
        simulation.send(HostId("gate"), key)
        deliverBetween(simulation, setOf(HostId("gate"), successor, witnesses[1]))
        advance(simulation, 1.seconds, listed, hosts)
        simulation.send(HostId("other"), key)
        deliverBetween(simulation, setOf(HostId("other"), paused, witnesses[2]))
        return simulation
    }

    private fun deliverBetween(
        simulation: KeySimulation,
        reachable: Set<HostId>,
    ) {
        simulation.deliverAll { it.from !in reachable || it.to !in reachable }
        simulation.granted.toList().forEach { simulation.run(it) }
        simulation.network.clear()
    }

    private fun advance(
        simulation: KeySimulation,
        duration: Duration,
        view: WitnessView,
        confirming: List<HostId>,
    ) {
        repeat(duration.inWholeSeconds.toInt()) {
            simulation.clock.time += 1.seconds
            confirming.forEach { simulation.confirm(it, view) }
        }
    }

    @Test
    fun `Given a witness that missed its own replacement, when it is listed again, then its hold-off starts again`() {
        expectThat(simulate(keyRules(settings)).findDoubleRun()).isNull()
    }

    @Test
    fun `Given a hold-off that is not reset after a gap, when the witness is listed again, then the key runs twice`() {
        expectThat(simulate(keyRules(settings).copy(resetsAfterGap = false)).findDoubleRun()).isNotNull()
    }
}
