package kingcuptide.coordination.version

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ReaderDutyTest {
    private val fresh = 100.milliseconds

    @Test
    fun `Given a hundred daemons that all read, when each has heard of the others, then two go on`() {
        val duties = (1..100).associate { "h%03d".format(it) to ReaderDuty("h%03d".format(it)) }
        val claims = duties.keys.map { ReaderClaim(it, 0, fresh) }
        duties.forEach { (host, duty) -> duty.decide(claims.filter { it.host != host }, 0, fresh) }
        expectThat(duties.count { it.value.reads }).isEqualTo(ReaderDuty.READERS)
        expectThat(duties.count { it.value.isFirst }).isEqualTo(1)
    }

    @Test
    fun `Given readers that lost the source, when their contact is old, then another starts`() {
        val duty = ReaderDuty("z")
        duty.decide(listOf(ReaderClaim("a", 0, fresh), ReaderClaim("b", 0, fresh)), 0, fresh)
        expectThat(duty.reads).isFalse()
        duty.decide(listOf(ReaderClaim("a", 0, 2.seconds), ReaderClaim("b", 0, fresh)), 0, fresh)
        expectThat(duty.reads).isTrue()
    }

    @Test
    fun `Given enough readers but old knowledge, when decided, then this daemon reads whoever else does`() {
        val duty = ReaderDuty("z")
        val claims = listOf(ReaderClaim("a", 0, fresh), ReaderClaim("b", 0, fresh))
        expectThat(duty.decide(claims, 0, 3.seconds)).isTrue()
        expectThat(duty.decide(claims, 0, Duration.INFINITE)).isTrue()
    }
}
