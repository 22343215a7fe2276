package kingcuptide.coordination.process

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

internal class SelfStateTest {
    private val selfMember = Member(hostEntry("me"), 1).apply {
        isKnown = true
        incarnation = 10
    }
    private val state = SelfState(selfMember)

    @Nested
    inner class `Given a claim about this run` {
        @Test
        fun `when it is a suspicion, then the revision increases and the incarnation stays`() {
            expectThat(state.handleClaim(claim(10, 0, Health.SUSPECT))).isEqualTo(true)
            expectThat(selfMember.claim()).isEqualTo(claim(10, 1, Health.ALIVE))
        }

        @Test
        fun `when the suspicion is repeated after the refutation, then nothing changes`() {
            state.handleClaim(claim(10, 0, Health.SUSPECT))

            expectThat(state.handleClaim(claim(10, 0, Health.SUSPECT))).isEqualTo(false)
        }

        @Test
        fun `when it says dead, then the incarnation increases`() {
            state.handleClaim(claim(10, 0, Health.DEAD))

            expectThat(selfMember.incarnation).isEqualTo(11)
            expectThat(selfMember.rejoined).isEqualTo(true)
        }
    }

    @Nested
    inner class `Given a claim about a former run` {
        @Test
        fun `when the former run has a higher incarnation, then this run takes one above it`() {
            state.handleClaim(claim(500, 3, Health.ALIVE))

            expectThat(selfMember.incarnation).isGreaterThan(500)
        }

        @Test
        fun `when the former run has the same incarnation and was leaving, then this run takes one above it`() {
            state.handleClaim(claim(10, 0, Health.ALIVE).copy(leaving = true))

            expectThat(selfMember.incarnation).isEqualTo(11)
            expectThat(selfMember.leaving).isEqualTo(false)
        }
    }

    private fun claim(incarnation: Long, revision: Int, health: Health): MemberClaim =
        MemberClaim(incarnation, revision, health, leaving = false, cold = false, rejoined = false)
}
