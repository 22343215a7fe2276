package kingcuptide.coordination.process

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class MemberMergeTest {
    private val member = Member(hostEntry("a"), 1).apply {
        isKnown = true
        incarnation = 10
        revision = 2
    }

    @Nested
    inner class `Given a live member` {
        @Test
        fun `when a claim refers to an earlier incarnation, then it changes nothing`() {
            expectThat(member.merge(claim(9, 7, Health.DEAD))).isEqualTo(MergeOutcome.STALE)
            expectThat(member.claim()).isEqualTo(claim(10, 2, Health.ALIVE))
        }

        @Test
        fun `when a suspicion refers to an earlier revision, then it changes nothing`() {
            expectThat(member.merge(claim(10, 1, Health.SUSPECT))).isEqualTo(MergeOutcome.STALE)
        }

        @Test
        fun `when another daemon declares it dead, then it stays alive until its own probe has failed`() {
            expectThat(member.merge(claim(10, 2, Health.DEAD))).isEqualTo(MergeOutcome.DISPUTED)
            expectThat(member.health).isEqualTo(Health.ALIVE)
        }

        @Test
        fun `when another daemon declares a later run dead, then it is only suspected`() {
            expectThat(member.merge(claim(11, 0, Health.DEAD))).isEqualTo(MergeOutcome.SUSPECTED)
            expectThat(member.incarnation).isEqualTo(11)
        }
    }

    @Nested
    inner class `Given a suspect` {
        @Test
        fun `when it announces a later revision, then the suspicion ends`() {
            member.health = Health.SUSPECT

            expectThat(member.merge(claim(10, 3, Health.ALIVE))).isEqualTo(MergeOutcome.ANNOUNCED)
            expectThat(member.health).isEqualTo(Health.ALIVE)
        }

        @Test
        fun `when a message from before the suspicion arrives, then the suspicion stays`() {
            member.health = Health.SUSPECT

            expectThat(member.merge(claim(10, 2, Health.ALIVE))).isEqualTo(MergeOutcome.UNCHANGED)
            expectThat(member.health).isEqualTo(Health.SUSPECT)
        }
    }

    @Nested
    inner class `Given a dead member` {
        @Test
        fun `when a claim about the same incarnation says alive, then it stays dead`() {
            member.health = Health.DEAD

            expectThat(member.merge(claim(10, 5, Health.ALIVE))).isEqualTo(MergeOutcome.DISPUTED)
            expectThat(member.health).isEqualTo(Health.DEAD)
        }

        @Test
        fun `when a later incarnation is announced, then it is alive`() {
            member.health = Health.DEAD

            expectThat(member.merge(claim(11, 0, Health.ALIVE))).isEqualTo(MergeOutcome.ANNOUNCED)
            expectThat(member.liveness()).isEqualTo(Liveness.ALIVE)
        }
    }

    private fun claim(incarnation: Long, revision: Int, health: Health): MemberClaim =
        MemberClaim(incarnation, revision, health, leaving = false, cold = false, rejoined = false)
}
