package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One random history of a small fleet. */
internal class KeyHistory(
    private val random: Random,
    private val settings: KeySettings,
    rules: KeyRules,
) {
    private val entries = listOf(
        hostEntry("a1", "d1"),
        hostEntry("a2", "d1"),
        hostEntry("b1", "d2"),
        hostEntry("b2", "d2"),
        hostEntry("c1", "d3"),
    )
    private val hosts = entries.map { it.host }
    private val views = List(VIEWS) { viewOf(entries.filter { random.nextInt(4) > 0 }) }
    private val firstHeld = HashMap<FailureDomainId, Array<Duration?>>()
    private var newest = 0
    private val held = HashMap<HostId, Int>()
    private val keys = listOf("k1", "k2")
    private val cutOff = mutableSetOf<HostId>()
    val world = KeyWorld(hosts, settings, rules)

    init {
        hosts.forEach { hold(it, 0) }
        pass(settings.holdOff * 2) { hosts }
    }

    fun step() {
        when (random.nextInt(100)) {
            in 0..15 -> send()
            in 16..47 -> moveMessage()
            in 48..63 -> repeat(BURST) { moveMessage() }
            in 64..76 -> actOnGrant()
            in 77..86 -> advance()
            in 87..88 -> restart(hosts.random(random))
            in 89..90 -> publish()
            in 91..92 -> cut()
            93 -> cutOff.clear()
            94 -> world.frozen += hosts.random(random)
            in 95..97 -> world.frozen.clear()
            else -> hosts.forEach { if (it !in world.frozen) world.tick(it) }
        }
    }

    private fun send() {
        val remaining = listOf(500.milliseconds, 2.seconds).random(random)
        world.send(hosts.random(random), keys.random(random), remaining)
    }

    /** Separates some hosts from the others: messages between the two sides are lost. */
    private fun cut() {
        cutOff.clear()
        hosts.filterTo(cutOff) { random.nextBoolean() }
    }

    private fun moveMessage() {
        val candidates = world.network.filter { it.to !in world.frozen && it.from !in world.frozen }
        val envelope = candidates.randomOrNull(random) ?: return
        val crossesCut = (envelope.from in cutOff) != (envelope.to in cutOff)
        when (if (crossesCut) 0 else random.nextInt(12)) {
            0 -> world.network.remove(envelope)
            1 -> world.deliver(envelope, keep = true)
            else -> world.deliver(envelope)
        }
    }

    private fun actOnGrant() {
        val claim = world.granted.filter { it.host !in world.frozen }.randomOrNull(random) ?: return
        if (random.nextInt(5) == 0) {
            world.release(claim)
        } else if (world.run(claim) && random.nextBoolean()) {
            world.complete(claim)
        }
    }

    private fun advance() {
        val step = listOf(50.milliseconds, 300.milliseconds, 900.milliseconds, 3.seconds, 8.seconds, 18.seconds)
        val silent = hosts.filter { random.nextInt(10) < if (it in cutOff) 6 else 1 }.toSet()
        pass(step.random(random)) { hosts - silent - world.frozen }
    }

    private fun pass(
        duration: Duration,
        confirming: () -> List<HostId>,
    ) {
        var left = duration
        while (left > Duration.ZERO) {
            val step = minOf(left, settings.viewFreshness * 0.9)
            world.clock.time += step
            left -= step
            confirming().forEach(::confirm)
        }
    }

    private fun restart(host: HostId) {
        world.restart(host)
        held.remove(host)
        confirm(host)
    }

    private fun publish() {
        val first = hosts.filter { it !in world.frozen }.randomOrNull(random) ?: return
        if (newest < VIEWS - 1) {
            newest++
            hold(first, newest)
        }
    }

    /** Hosts that are cut off tend to the oldest view that they may confirm. */
    private fun confirm(host: HostId) {
        val allowed = (0..newest).filter { mayConfirm(host, it) }
        val prefersNewest = random.nextInt(10) < if (host in cutOff) 1 else 9
        hold(host, if (prefersNewest) allowed.last() else allowed.first())
    }

    private fun mayConfirm(
        host: HostId,
        index: Int,
    ): Boolean {
        if (index < (held[host] ?: 0)) {
            return false
        }
        val heldInDomain = firstHeld.getOrPut(domainOf(host)) { arrayOfNulls(VIEWS) }
        val newerSince = (index + 1 until VIEWS).mapNotNull { heldInDomain[it] }.minOrNull() ?: return true
        return world.clock.now() <= newerSince + settings.confirmationLag
    }

    private fun hold(
        host: HostId,
        index: Int,
    ) {
        held[host] = index
        val heldInDomain = firstHeld.getOrPut(domainOf(host)) { arrayOfNulls(VIEWS) }
        heldInDomain[index] = heldInDomain[index] ?: world.clock.now()
        world.confirm(host, views[index])
    }

    private fun domainOf(host: HostId): FailureDomainId = entries.first { it.host == host }.failureDomain

    private companion object {
        const val VIEWS = 4
        const val BURST = 6
    }
}
