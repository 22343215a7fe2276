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

/** The plain baseline: every daemon watches the platform itself and takes each document whole. */
class PlainWatcher(
    private val fleet: InMemoryFleet,
) : FleetDaemon {
    private val effects = mutableListOf<SourceEffect>()
    private var calls = 0L
    private var isWaiting = false
    private var notBefore = Duration.ZERO

    override var number: Long? = null
        private set

    override val canAcceptWork: Boolean
        get() = number != null

    override val counters: VersionCounters? = null

    override fun receive(from: HostId, message: ControlMessage): List<Outbound> = emptyList()

    override fun sourceOutcome(call: Long, kind: ResourceKind, outcome: SourceOutcome): List<Outbound> {
        isWaiting = false
        when (outcome) {
            is SourceOutcome.Changed ->
                fleet.shared.document(outcome.content).fold(success = {
                    number = outcome.content.version.number
                }, failure = { })
            is SourceOutcome.Unchanged -> Unit
            is SourceOutcome.Failed -> notBefore = fleet.clock.now() + RETRY
        }
        arm()
        return emptyList()
    }

    override fun tick(): List<Outbound> {
        arm()
        return emptyList()
    }

    override fun takeSourceEffects(): List<SourceEffect> = effects.toList().also { effects.clear() }

    private fun arm() {
        if (isWaiting || fleet.clock.now() < notBefore) return
        isWaiting = true
        val held = number
        val call = ++calls
        effects +=
            if (held == null) {
                SourceEffect.ReadNow(call, ResourceKind.DOCUMENT)
            } else {
                SourceEffect.Watch(call, ResourceKind.DOCUMENT, held, WAIT)
            }
    }

    private companion object {
        val RETRY = 1.seconds
        val WAIT = 20.seconds
    }
}
