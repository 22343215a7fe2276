package kingcuptide.bench.fleet

import com.github.michaelbull.result.fold
import kingcuptide.coordination.connection.ControlMessage
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.SourceEffect
import kingcuptide.coordination.version.SourceOutcome
import kingcuptide.coordination.version.VersionCounters
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Baseline: every daemon watches the platform itself and reads each document in full. */
class PlainWatcher(
    private val fleet: InMemoryFleet,
) : FleetDaemon {
    private val effects = mutableListOf<SourceEffect>()
    private var lastCall = 0L
    private var isCallInFlight = false
    private var retryAt = Duration.ZERO

    override var number: Long? = null
        private set

    override val canAcceptWork: Boolean
        get() = number != null

    override val counters: VersionCounters? = null

    override fun receive(from: HostId, message: ControlMessage): List<Outbound> = emptyList()

    override fun sourceOutcome(call: Long, kind: ResourceKind, outcome: SourceOutcome): List<Outbound> {
        isCallInFlight = false
        when (outcome) {
            is SourceOutcome.Changed ->
                fleet.shared.document(outcome.content).fold(success = {
                    number = outcome.content.version.number
                }, failure = { })
            is SourceOutcome.Unchanged -> Unit
            is SourceOutcome.Failed -> retryAt = fleet.clock.now() + RETRY_DELAY
        }
        startCallIfDue()
        return emptyList()
    }

    override fun tick(): List<Outbound> {
        startCallIfDue()
        return emptyList()
    }

    override fun takeSourceEffects(): List<SourceEffect> = effects.toList().also { effects.clear() }

    private fun startCallIfDue() {
        if (isCallInFlight || fleet.clock.now() < retryAt) return
        isCallInFlight = true
        val current = number
        val call = ++lastCall
        effects +=
            if (current == null) {
                SourceEffect.ReadNow(call, ResourceKind.DOCUMENT)
            } else {
                SourceEffect.Watch(call, ResourceKind.DOCUMENT, current, WATCH_TIMEOUT)
            }
    }

    private companion object {
        val RETRY_DELAY = 1.seconds
        val WATCH_TIMEOUT = 20.seconds
    }
}
