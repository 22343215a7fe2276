package kingcuptide.coordination.request

import kingcuptide.coordination.connection.KeyRefusalReason
import kingcuptide.coordination.process.HostId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Two of a key's witnesses are cut off for longer than the hold-off, while the third sees the first replaced. */
internal class KeyStaleViewTest {
    private val settings = testKeySettings
    private val entries = listOf(
        hostEntry("a1", "d1"),
        hostEntry("a2", "d1"),
        hostEntry("b1", "d2"),
        hostEntry("c1", "d3"),
        hostEntry("oldgate", "d4"),
        hostEntry("newgate", "d4"),
    )
    private val oldView = viewOf(entries)
    private val key = keyWithFirstWitnessIn(oldView, setOf("a1", "a2"))
    private val witnesses = oldView.witnesses(key, emptySet()).filterNotNull()
    private val newView = viewOf(entries.filter { it.host != witnesses[0] })
    private val oldSide = setOf(witnesses[0], witnesses[1], HostId("oldgate"))
    private val newSide = entries.map { it.host }.toSet() - oldSide

    private fun simulate(
        rules: KeyRules,
        oldSideConfirms: Boolean,
    ): KeySimulation {
        val simulation = KeySimulation(entries.map { it.host }, settings, rules)
        entries.forEach { simulation.confirm(it.host, oldView) }
        advance(simulation, settings.holdOff * 2) { entries.forEach { simulation.confirm(it.host, oldView) } }
        advance(simulation, settings.holdOff * 2) {
            newSide.forEach { simulation.confirm(it, newView) }
            if (oldSideConfirms) {
                oldSide.forEach { simulation.confirm(it, oldView) }
            }
        }
        for (gate in listOf("oldgate", "newgate")) {
            simulation.send(HostId(gate), key)
            simulation.deliverAll { (it.from in oldSide) != (it.to in oldSide) }
            simulation.granted.toList().forEach { simulation.run(it) }
        }
        return simulation
    }

    private fun advance(
        simulation: KeySimulation,
        duration: Duration,
        eachSecond: () -> Unit,
    ) {
        repeat(duration.inWholeSeconds.toInt()) {
            simulation.clock.time += 1.seconds
            eachSecond()
        }
    }

    @Test
    fun `Given old views that are not confirmed, when both sides get a claim, then the old side does not grant`() {
        val simulation = simulate(keyRules(settings), oldSideConfirms = false)

        expectThat(simulation.findDoubleRun()).isNull()
        expectThat(
            simulation.witnessCounters(witnesses[0]).refused.getValue(KeyRefusalReason.VIEW_UNCONFIRMED),
        ).isGreaterThan(0)
    }

    @Test
    fun `Given witnesses that need no confirmation, when both sides get a claim, then the key runs twice`() {
        val simulation =
            simulate(keyRules(settings).copy(checksFreshness = false, resetsAfterGap = false), oldSideConfirms = false)

        expectThat(simulation.findDoubleRun()).isNotNull()
    }

    /** Shows the limit of the guarantee: see the assumption in docs/design/at-most-once.md. */
    @Test
    fun `Given a platform that confirms an old list to one side, when both get a claim, then the key runs twice`() {
        val simulation = simulate(keyRules(settings), oldSideConfirms = true)

        expectThat(simulation.findDoubleRun()).isNotNull()
    }
}
