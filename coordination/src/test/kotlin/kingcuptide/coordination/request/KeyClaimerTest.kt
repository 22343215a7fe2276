package kingcuptide.coordination.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import kingcuptide.coordination.connection.ClaimId
import kingcuptide.coordination.connection.FakeClock
import kingcuptide.coordination.connection.KeyClaim
import kingcuptide.coordination.connection.KeyGrant
import kingcuptide.coordination.connection.KeyRefusal
import kingcuptide.coordination.connection.KeyRefusalReason
import kingcuptide.coordination.connection.KeyRelease
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.map
import strikt.assertions.single
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class KeyClaimerTest {
    private val clock = FakeClock()
    private val settings = testKeySettings
    private val self = HostId("gate")
    private val view = viewOf(listOf(hostEntry("a1", "d1"), hostEntry("b1", "d2"), hostEntry("c1", "d3")))
    private val witnesses = view.witnesses("k", emptySet()).filterNotNull()
    private val claimer = keyClaimer(self, Incarnation(1), clock, settings).also { it.confirm(view) }
    private val decisions = mutableListOf<KeyDecision>()
    private val claim = ClaimId(self, Incarnation(1), 1)

    private fun start(): List<Outbound> =
        claimer.start(KeyedRequest("k", emptySet(), clock.now() + 2.seconds)) { decisions += it }

    private fun grant(slot: Int) = claimer.receive(witnesses[slot], KeyGrant("k", claim))

    private fun refuse(
        slot: Int,
        reason: KeyRefusalReason,
        retryAfterMs: Long = 0,
        status: Int? = null,
    ) = claimer.receive(witnesses[slot], KeyRefusal("k", claim, reason, retryAfterMs, status))

    @Nested
    inner class Deciding {
        @Test
        fun `Given two grants, when the second arrives, then the claim is granted, and a third has no effect`() {
            expectThat(start()).map { it.to }.isEqualTo(witnesses)
            grant(0)
            grant(2)
            grant(1)

            expectThat(decisions).containsExactly(KeyDecision.Granted(claim))
        }

        @Test
        fun `Given a duplicated grant, when it arrives twice, then it counts once`() {
            start()
            grant(0)
            grant(0)

            expectThat(decisions).isEmpty()
        }

        @Test
        fun `Given a grant from a host that is not a witness, when it arrives, then it does not count`() {
            start()
            grant(0)
            claimer.receive(HostId("stranger"), KeyGrant("k", claim))

            expectThat(decisions).isEmpty()
        }

        @Test
        fun `Given two witnesses that report the key held, when both replied, then it is already used and released`() {
            start()
            refuse(0, KeyRefusalReason.HELD, status = 201)
            val released = refuse(1, KeyRefusalReason.HELD)

            expectThat(
                decisions,
            ).containsExactly(KeyDecision.Refused(ResultCode.KEY_ALREADY_USED, 0, firstStatus = 201))
            expectThat(released).hasSize(3).all { get { message }.isA<KeyRelease>() }
        }

        @Test
        fun `Given witnesses in their hold-off, when all replied, then the retry delay is the second longest`() {
            start()
            refuse(0, KeyRefusalReason.TOO_YOUNG, retryAfterMs = 9_000)
            refuse(1, KeyRefusalReason.TOO_YOUNG, retryAfterMs = 5_000)
            refuse(2, KeyRefusalReason.TOO_YOUNG, retryAfterMs = 7_000)

            expectThat(decisions).containsExactly(KeyDecision.Refused(ResultCode.KEY_NOT_GRANTED, 7_000))
        }

        @Test
        fun `Given two witnesses in their hold-off, when the third reports the key held, then it is already used`() {
            start()
            refuse(0, KeyRefusalReason.TOO_YOUNG, retryAfterMs = 9_000)
            refuse(1, KeyRefusalReason.TOO_YOUNG, retryAfterMs = 5_000)
            expectThat(decisions).isEmpty()
            refuse(2, KeyRefusalReason.HELD, status = 201)

            expectThat(
                decisions,
            ).containsExactly(KeyDecision.Refused(ResultCode.KEY_ALREADY_USED, 0, firstStatus = 201))
        }

        @Test
        fun `Given missing replies, when ticked, then the claim is resent once and then given up`() {
            start()
            grant(0)
            clock.time += settings.resendDelay
            expectThat(claimer.tick()).hasSize(2).all { get { message }.isA<KeyClaim>() }
            expectThat(claimer.tick()).isEmpty()

            clock.time += settings.claimTimeout
            expectThat(claimer.tick()).hasSize(3).all { get { message }.isA<KeyRelease>() }
            expectThat(decisions).single().isA<KeyDecision.Refused>()
        }

        @Test
        fun `Given no view of the fleet, when started, then the claim is refused immediately`() {
            val claimerWithoutView = keyClaimer(self, Incarnation(1), clock, settings)

            expectThat(
                claimerWithoutView.start(KeyedRequest("k", emptySet(), clock.now() + 1.seconds)) {
                    decisions += it
                },
            ).isEmpty()
            expectThat(decisions).single().isA<KeyDecision.Refused>()
        }
    }

    @Nested
    inner class Starting {
        @Test
        fun `Given a granted claim, when begun twice, then only the first succeeds`() {
            start()
            grant(0)
            grant(1)

            expectThat(claimer.begin(claim)).isEqualTo(Ok(Unit))
            expectThat(claimer.begin(claim)).isEqualTo(Err(ResultCode.KEY_NOT_GRANTED))
        }

        @Test
        fun `Given a gate that was paused until the maximum start delay passed, when resumed, then begin fails`() {
            start()
            clock.time += settings.maxStartDelay + 1.milliseconds
            grant(0)
            grant(1)

            expectThat(claimer.begin(claim)).isEqualTo(Err(ResultCode.KEY_NOT_GRANTED))
            expectThat(claimer.counters().begunTooLate).isEqualTo(1)
        }

        @Test
        fun `Given a released claim, when begun, then begin fails`() {
            start()
            grant(0)
            grant(1)
            expectThat(claimer.release(claim)).hasSize(3)

            expectThat(claimer.begin(claim)).isEqualTo(Err(ResultCode.KEY_NOT_GRANTED))
            expectThat(claimer.release(claim)).isEmpty()
        }

        @Test
        fun `Given a granted claim that is never ended, when its deadline has long passed, then it is removed`() {
            start()
            grant(0)
            grant(1)
            clock.time += 10.seconds
            claimer.tick()

            expectThat(claimer.counters().open).isEqualTo(0)
            expectThat(claimer.begin(claim)).isEqualTo(Err(ResultCode.KEY_NOT_GRANTED))
        }
    }
}
