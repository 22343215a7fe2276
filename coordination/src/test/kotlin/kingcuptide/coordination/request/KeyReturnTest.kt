package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A witness freezes, leaves the host list, is replaced for longer than the hold-off, wakes and is listed again. */
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
    private val frozen = witnesses[0]
    private val unlisted = viewOf(entries.filter { it.host != frozen })
    private val successor = checkNotNull(unlisted.witnesses(key, emptySet())[0])

    private fun play(rules: KeyRules): KeyWorld {
        val world = KeyWorld(hosts, settings, rules)
        pass(world, settings.holdOff * 2, listed, hosts)
        pass(world, settings.holdOff * 2, unlisted, hosts - frozen)
        world.send(HostId("gate"), key)
        deliverBetween(world, setOf(HostId("gate"), successor, witnesses[1]))
        pass(world, 1.seconds, listed, hosts)
        world.send(HostId("other"), key)
        deliverBetween(world, setOf(HostId("other"), frozen, witnesses[2]))
        return world
    }

    private fun deliverBetween(
        world: KeyWorld,
        reachable: Set<HostId>,
    ) {
        world.deliverAll { it.from !in reachable || it.to !in reachable }
        world.granted.toList().forEach { world.run(it) }
        world.network.clear()
    }

    private fun pass(
        world: KeyWorld,
        duration: Duration,
        view: WitnessView,
        confirming: List<HostId>,
    ) {
        repeat(duration.inWholeSeconds.toInt()) {
            world.clock.time += 1.seconds
            confirming.forEach { world.confirm(it, view) }
        }
    }

    @Test
    fun `Given a witness that missed its own replacement, when it is listed again, then it is young`() {
        expectThat(play(keyRules(settings)).doubleRun()).isNull()
    }

    @Test
    fun `Given seniority that outlasts a gap, when the witness is listed again, then the key runs twice`() {
        expectThat(play(keyRules(settings).copy(breaksOnGap = false)).doubleRun()).isNotNull()
    }
}
