package kingcuptide.coordination.request

import kingcuptide.coordination.connection.ClaimId
import kingcuptide.coordination.connection.FakeClock
import kingcuptide.coordination.connection.KeyClaim
import kingcuptide.coordination.connection.KeyCompleted
import kingcuptide.coordination.connection.KeyGrant
import kingcuptide.coordination.connection.KeyMessage
import kingcuptide.coordination.connection.KeyRefusal
import kingcuptide.coordination.connection.KeyRefusalReason
import kingcuptide.coordination.connection.KeyRelease
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class KeyWitnessTest {
    private val clock = FakeClock()
    private val settings = testKeySettings.copy(maxRecords = 2)
    private val gate = HostId("gate")
    private val view = viewOf(listOf(hostEntry("a1", "d1"), hostEntry("b1", "d2"), hostEntry("c1", "d3")))
    private val witness = keyWitness(HostId("a1"), clock, settings).also { it.confirm(view) }

    private fun claimId(sequence: Long) = ClaimId(gate, Incarnation(1), sequence)

    private fun claim(
        sequence: Long,
        key: String = "k",
        remainingMs: Long = 1_000,
    ): KeyMessage {
        val message = KeyClaim(key, claimId(sequence), view.witnesses(key, emptySet()), emptySet(), remainingMs)
        return witness.receive(gate, message).single().message as KeyMessage
    }

    private fun advanceConfirmed(duration: Duration = settings.holdOff) {
        var remaining = duration
        while (remaining > Duration.ZERO) {
            val step = minOf(remaining, settings.viewFreshness)
            clock.time += step
            remaining -= step
            witness.confirm(view)
        }
    }

    private fun expectRefused(
        reply: KeyMessage,
        reason: KeyRefusalReason,
    ) = expectThat(reply).isA<KeyRefusal>().and { get { this.reason }.isEqualTo(reason) }

    @Nested
    inner class Granting {
        @Test
        fun `Given a witness in its hold-off, when claimed, then it returns the remaining time and stores nothing`() {
            advanceConfirmed(settings.holdOff - 300.milliseconds)

            expectRefused(claim(1), KeyRefusalReason.TOO_YOUNG).and { get { retryAfterMs }.isEqualTo(300) }
            expectThat(witness.counters().records).isEqualTo(0)
        }

        @Test
        fun `Given a grant, when the claim is resent, then it is granted again`() {
            advanceConfirmed()

            expectThat(claim(1)).isA<KeyGrant>()
            expectThat(claim(1)).isA<KeyGrant>()
        }

        @Test
        fun `Given a grant, when another claim arrives, then it is refused within the window and granted after it`() {
            advanceConfirmed()
            claim(1)
            advanceConfirmed(settings.maxStartDelay + 1_000.milliseconds + settings.resendWindow - 1.milliseconds)
            expectRefused(claim(2), KeyRefusalReason.HELD)

            advanceConfirmed(1.milliseconds)
            expectThat(claim(2)).isA<KeyGrant>()
        }

        @Test
        fun `Given a completed run, when claimed again, then the refusal contains its status`() {
            advanceConfirmed()
            claim(1)
            witness.receive(gate, KeyCompleted("k", claimId(1), status = 201))

            expectRefused(claim(2), KeyRefusalReason.HELD).and { get { status }.isEqualTo(201) }
        }

        @Test
        fun `Given a remaining time above the maximum, when claimed, then the claim is invalid`() {
            advanceConfirmed()

            expectRefused(
                claim(1, remainingMs = settings.maxRemaining.inWholeMilliseconds + 1),
                KeyRefusalReason.INVALID,
            )
        }

        @Test
        fun `Given a view that was not confirmed recently, when claimed, then the claim is refused`() {
            advanceConfirmed()
            clock.time += settings.viewFreshness + 1.milliseconds

            expectRefused(claim(1), KeyRefusalReason.VIEW_UNCONFIRMED)
            witness.confirm(view)
            expectRefused(claim(1), KeyRefusalReason.TOO_YOUNG)
        }
    }

    @Nested
    inner class Releasing {
        @Test
        fun `Given a released key, when another claims it, then it is granted, and the old release frees nothing`() {
            advanceConfirmed()
            claim(1)
            witness.receive(gate, KeyRelease("k", claimId(1)))
            expectThat(claim(2)).isA<KeyGrant>()

            expectThat(witness.receive(gate, KeyRelease("k", claimId(1)))).isEmpty()
            expectRefused(claim(3), KeyRefusalReason.HELD)
        }

        @Test
        fun `Given a released claim, when it arrives again late, then it is not granted`() {
            advanceConfirmed()
            claim(1)
            witness.receive(gate, KeyRelease("k", claimId(1)))

            expectRefused(claim(1), KeyRefusalReason.INVALID)
        }

        @Test
        fun `Given a completed run, when a release arrives, then the key stays used`() {
            advanceConfirmed()
            claim(1)
            witness.receive(gate, KeyCompleted("k", claimId(1), status = 201))
            witness.receive(gate, KeyRelease("k", claimId(1)))

            expectRefused(claim(2), KeyRefusalReason.HELD)
        }
    }

    @Nested
    inner class Bound {
        @Test
        fun `Given the maximum number of records, when a new key is claimed, then it is refused and none is lost`() {
            advanceConfirmed()
            claim(1, "k1")
            claim(2, "k2")

            expectRefused(claim(3, "k3"), KeyRefusalReason.FULL)
            expectRefused(claim(4, "k1"), KeyRefusalReason.HELD)
        }

        @Test
        fun `Given expired records, when ticked, then they are removed`() {
            advanceConfirmed()
            claim(1, "k1")
            clock.time += settings.maxRetention
            witness.tick()

            expectThat(witness.counters().records).isEqualTo(0)
        }
    }
}
