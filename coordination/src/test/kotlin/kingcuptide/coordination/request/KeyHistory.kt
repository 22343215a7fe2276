package kingcuptide.coordination.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A random history of a small fleet. */
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
    private val views = List(VIEW_COUNT) { viewOf(entries.filter { random.nextInt(4) > 0 }) }
    private val firstAdoptedAt = HashMap<FailureDomainId, Array<Duration?>>()
    private var newest = 0
    private val adoptedIndex = HashMap<HostId, Int>()
    private val keys = listOf("k1", "k2")
    private val disconnected = mutableSetOf<HostId>()
    val simulation = KeySimulation(hosts, settings, rules)

    init {
        hosts.forEach { adopt(it, 0) }
        advanceBy(settings.holdOff * 2) { hosts }
    }

    fun step() {
        when (random.nextInt(100)) {
            in 0..15 -> send()
            in 16..47 -> deliverOrLoseMessage()
            in 48..63 -> repeat(BURST_MESSAGES) { deliverOrLoseMessage() }
            in 64..76 -> actOnGrant()
            in 77..86 -> advance()
            in 87..88 -> restart(hosts.random(random))
            in 89..90 -> publish()
            in 91..92 -> partition()
            93 -> disconnected.clear()
            94 -> simulation.paused += hosts.random(random)
            in 95..97 -> simulation.paused.clear()
            else -> hosts.forEach { if (it !in simulation.paused) simulation.tick(it) }
        }
    }

    private fun send() {
        val remaining = listOf(500.milliseconds, 2.seconds).random(random)
        simulation.send(hosts.random(random), keys.random(random), remaining)
    }

    /** Partitions the network: messages between the two sides are lost. */
    private fun partition() {
        disconnected.clear()
        hosts.filterTo(disconnected) { random.nextBoolean() }
    }

    private fun deliverOrLoseMessage() {
        val candidates = simulation.network.filter { it.to !in simulation.paused && it.from !in simulation.paused }
        val envelope = candidates.randomOrNull(random) ?: return
        val crossesPartition = (envelope.from in disconnected) != (envelope.to in disconnected)
        when (if (crossesPartition) 0 else random.nextInt(12)) {
            0 -> simulation.network.remove(envelope)
            1 -> simulation.deliver(envelope, keepsCopy = true)
            else -> simulation.deliver(envelope)
        }
    }

    private fun actOnGrant() {
        val claim = simulation.granted.filter { it.host !in simulation.paused }.randomOrNull(random) ?: return
        if (random.nextInt(5) == 0) {
            simulation.release(claim)
        } else if (simulation.run(claim) && random.nextBoolean()) {
            simulation.complete(claim)
        }
    }

    private fun advance() {
        val step = listOf(50.milliseconds, 300.milliseconds, 900.milliseconds, 3.seconds, 8.seconds, 18.seconds)
        val unconfirming = hosts.filter { random.nextInt(10) < if (it in disconnected) 6 else 1 }.toSet()
        advanceBy(step.random(random)) { hosts - unconfirming - simulation.paused }
    }

    private fun advanceBy(
        duration: Duration,
        confirming: () -> List<HostId>,
    ) {
        var remaining = duration
        while (remaining > Duration.ZERO) {
            val step = minOf(remaining, settings.viewFreshness * 0.9)
            simulation.clock.time += step
            remaining -= step
            confirming().forEach(::confirm)
        }
    }

    private fun restart(host: HostId) {
        simulation.restart(host)
        adoptedIndex.remove(host)
        confirm(host)
    }

    private fun publish() {
        val first = hosts.filter { it !in simulation.paused }.randomOrNull(random) ?: return
        if (newest < VIEW_COUNT - 1) {
            newest++
            adopt(first, newest)
        }
    }

    /** Disconnected hosts mostly confirm the oldest view that they may confirm, all others the newest. */
    private fun confirm(host: HostId) {
        val allowed = (0..newest).filter { mayConfirm(host, it) }
        val prefersNewest = random.nextInt(10) < if (host in disconnected) 1 else 9
        adopt(host, if (prefersNewest) allowed.last() else allowed.first())
    }

    private fun mayConfirm(
        host: HostId,
        index: Int,
    ): Boolean {
        if (index < (adoptedIndex[host] ?: 0)) {
            return false
        }
        val adoptedInDomain = firstAdoptedAt.getOrPut(domainOf(host)) { arrayOfNulls(VIEW_COUNT) }
        val newerSince = (index + 1 until VIEW_COUNT).mapNotNull { adoptedInDomain[it] }.minOrNull() ?: return true
        return simulation.clock.now() <= newerSince + settings.confirmationLag
    }

    private fun adopt(
        host: HostId,
        index: Int,
    ) {
        adoptedIndex[host] = index
        val adoptedInDomain = firstAdoptedAt.getOrPut(domainOf(host)) { arrayOfNulls(VIEW_COUNT) }
        adoptedInDomain[index] = adoptedInDomain[index] ?: simulation.clock.now()
        simulation.confirm(host, views[index])
    }

    private fun domainOf(host: HostId): FailureDomainId = entries.first { it.host == host }.failureDomain

    private companion object {
        const val VIEW_COUNT = 4
        const val BURST_MESSAGES = 6
    }
}
