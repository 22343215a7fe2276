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

    private fun play(
        rules: KeyRules,
        oldSideConfirms: Boolean,
    ): KeyWorld {
        val world = KeyWorld(entries.map { it.host }, settings, rules)
        entries.forEach { world.confirm(it.host, oldView) }
        pass(world, settings.holdOff * 2) { entries.forEach { world.confirm(it.host, oldView) } }
        pass(world, settings.holdOff * 2) {
            newSide.forEach { world.confirm(it, newView) }
            if (oldSideConfirms) {
                oldSide.forEach { world.confirm(it, oldView) }
            }
        }
        for (gate in listOf("oldgate", "newgate")) {
            world.send(HostId(gate), key)
            world.deliverAll { (it.from in oldSide) != (it.to in oldSide) }
            world.granted.toList().forEach { world.run(it) }
        }
        return world
    }

    private fun pass(
        world: KeyWorld,
        duration: Duration,
        eachSecond: () -> Unit,
    ) {
        repeat(duration.inWholeSeconds.toInt()) {
            world.clock.time += 1.seconds
            eachSecond()
        }
    }

    @Test
    fun `Given old views that nobody confirms, when both sides are asked, then the old side does not grant`() {
        val world = play(keyRules(settings), oldSideConfirms = false)

        expectThat(world.doubleRun()).isNull()
        expectThat(
            world.witnessCounters(witnesses[0]).refused.getValue(KeyRefusalReason.VIEW_UNCONFIRMED),
        ).isGreaterThan(0)
    }

    @Test
    fun `Given witnesses that need no confirmation, when both sides are asked, then the key runs twice`() {
        val world = play(keyRules(settings).copy(checksFreshness = false, breaksOnGap = false), oldSideConfirms = false)

        expectThat(world.doubleRun()).isNotNull()
    }

    /** The limit of the protection: see the assumption in docs/design/at-most-once.md. */
    @Test
    fun `Given a platform that confirms an old list to one side, when both are asked, then the key runs twice`() {
        val world = play(keyRules(settings), oldSideConfirms = true)

        expectThat(world.doubleRun()).isNotNull()
    }
}
