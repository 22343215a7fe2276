package kingcuptide.forwarder.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.request.TargetState
import kingcuptide.coordination.version.PublishedItem
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.SourceItem
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.connection.PeerMessage
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration

/** Guards against a daemon with old state that tells others to use a target that has left. */
internal class OwnTargetUseTest {
    private val clock = ManualClock()
    private val published = PublishedState(clock, { PublishedItem.Target(ENTRY) })
    private val gate = TargetGate(clock)
    private var responding: TargetId? = ENTRY.id
    private val pings = ArrayList<PeerMessage.Ping>()
    private val use = OwnTargetUse(published, gate, { responding }, { listOf(5, 7) }, { pings })

    private fun publish() = published.apply(listOf(SourceItem("t", 1, NO_BYTES)))

    private fun ping(vararg asOf: Long) =
        PeerMessage.Ping(asOf.toList(), -1, 0, false, PeerMessage.LoadReport(0, 0, 1, 0, false), 0, 0)

    @Nested
    inner class `Given a confirmed state` {
        init {
            publish()
            published.confirmed(Duration.ZERO)
        }

        @Test
        fun `when the target responds, then it is in use and that is new once`() {
            expectThat(use.inUse()).isEqualTo(ENTRY.id)
            expectThat(use.hasBegun()).isTrue()
            expectThat(use.hasBegun()).isFalse()
        }

        @Test
        fun `when the target has not responded, or the gate is closed, then it is not in use`() {
            gate.state = TargetState.LEAVING
            expectThat(use.inUse()).isNull()
            gate.state = TargetState.OPEN
            responding = null
            expectThat(use.inUse()).isNull()
        }

        @Test
        fun `when another target responds that is not published, then it is not in use`() {
            responding = TargetId("other")
            expectThat(use.inUse()).isNull()
        }
    }

    @Nested
    inner class `Given a state that is not confirmed` {
        init {
            publish()
        }

        @Test
        fun `when no other daemon was heard, then the target is not known to be in use`() {
            expectThat(use.inUse()).isNull()
        }

        @Test
        fun `when no daemon heard has newer state, then the target is in use`() {
            pings += listOf(ping(0, 0), ping(5, 7))
            expectThat(use.inUse()).isEqualTo(ENTRY.id)
        }

        @Test
        fun `when a daemon has newer state of one section, then the target is not known to be in use`() {
            pings += listOf(ping(5, 7), ping(5, 8))
            expectThat(use.inUse()).isNull()
        }
    }

    private companion object {
        val ENTRY = TargetEntry(
            TargetId("t"),
            ServiceId("s"),
            "192.0.2.1",
            80,
            FailureDomainId("a"),
            "v1",
            10,
            leaving = false,
            coldFor = Duration.ZERO,
            startedAtUnixMs = 0,
            reports = 1,
        )
    }
}
