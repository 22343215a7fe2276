package kingcuptide.forwarder.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.StatePeer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The connection between two simulated daemons. Messages in transit are lost when it closes or falls silent. */
internal class SimulatedLink(
    private val time: VirtualTime,
    private val first: SimulatedDaemon,
    private val second: SimulatedDaemon,
    private val delay: Duration,
) {
    private val ends = listOf(End(first, second), End(second, first))
    private var generation = 0
    private var silent = false

    var isOpen = false
        private set

    /** The end at which [daemon] sends and receives. */
    fun endOf(daemon: SimulatedDaemon): StatePeer = ends.first { it.owner === daemon }

    fun open() {
        if (isOpen || !first.isUp || !second.isUp) return
        isOpen = true
        silent = false
        generation++
        ends.forEach { it.opened() }
    }

    fun close() {
        isOpen = false
        generation++
    }

    /** Loses all messages from now on, without a sign, until the link is closed and opened again. */
    fun fallSilent() {
        silent = true
        generation++
    }

    private inner class End(val owner: SimulatedDaemon, private val other: SimulatedDaemon) : StatePeer {
        override val failureDomain = FailureDomainId(other.failureDomain)
        override val isOpen get() = this@SimulatedLink.isOpen
        override var lastReceivedAt = time.now()

        fun opened() {
            lastReceivedAt = time.now()
            send(owner.ping())
        }

        override fun send(message: PeerMessage) {
            if (!isOpen || silent) return
            val sentIn = generation
            time.after(delay + other.slowness()) { if (sentIn == generation) deliver(message) }
        }

        private fun deliver(message: PeerMessage) {
            val receiving = ends.first { it.owner === other }
            receiving.lastReceivedAt = time.now()
            other.received(receiving, message)
        }
    }

    companion object {
        val SAME_DOMAIN_DELAY = 1.milliseconds
        val SAME_REGION_DELAY = 2.milliseconds
        val OTHER_REGION_DELAY = 14.milliseconds
    }
}
