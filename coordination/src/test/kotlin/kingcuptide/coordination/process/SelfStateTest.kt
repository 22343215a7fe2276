package kingcuptide.coordination.process

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

internal class SelfStateTest {
    private val me = Member(hostEntry("me"), 1).apply {
        heard = true
        incarnation = 10
    }
    private val state = SelfState(me)

    @Nested
    inner class `Given a claim about this run` {
        @Test
        fun `when it is a suspicion, then the revision rises and the incarnation stays`() {
            expectThat(state.answer(claim(10, 0, Health.SUSPECT))).isEqualTo(true)
            expectThat(me.claim()).isEqualTo(claim(10, 1, Health.ALIVE))
        }

        @Test
        fun `when the suspicion is repeated after the refutation, then nothing changes`() {
            state.answer(claim(10, 0, Health.SUSPECT))

            expectThat(state.answer(claim(10, 0, Health.SUSPECT))).isEqualTo(false)
        }

        @Test
        fun `when it says dead, then the incarnation rises`() {
            state.answer(claim(10, 0, Health.DEAD))

            expectThat(me.incarnation).isEqualTo(11)
            expectThat(me.returned).isEqualTo(true)
        }
    }

    @Nested
    inner class `Given a claim about a former run` {
        @Test
        fun `when the former run has a greater incarnation, then this run goes above it`() {
            state.answer(claim(500, 3, Health.ALIVE))

            expectThat(me.incarnation).isGreaterThan(500)
        }

        @Test
        fun `when the former run has the same incarnation and was leaving, then this run goes above it`() {
            state.answer(claim(10, 0, Health.ALIVE).copy(leaving = true))

            expectThat(me.incarnation).isEqualTo(11)
            expectThat(me.leaving).isEqualTo(false)
        }
    }

    private fun claim(incarnation: Long, revision: Int, health: Health): MemberClaim =
        MemberClaim(incarnation, revision, health, leaving = false, cold = false, returned = false)
}
