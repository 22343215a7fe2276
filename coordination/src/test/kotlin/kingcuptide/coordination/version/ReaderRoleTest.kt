package kingcuptide.coordination.version

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ReaderRoleTest {
    private val fresh = 100.milliseconds

    private fun reading(host: String, contactAge: Duration = fresh) =
        ReaderReport(host, 0, ReaderState.READING, contactAge)

    @Test
    fun `Given a hundred daemons that all read, when each has heard of the others, then two go on`() {
        val duties = (1..100).associate { "h%03d".format(it) to ReaderRole("h%03d".format(it)) }
        val claims = duties.keys.map { reading(it) }
        duties.forEach { (host, duty) -> duty.decide(claims.filter { it.host != host }, 0, fresh) }
        expectThat(duties.count { it.value.readsSource }).isEqualTo(ReaderRole.READERS)
    }

    @Test
    fun `Given readers that lost the source, when their contact is old, then another starts`() {
        val duty = ReaderRole("z")
        duty.decide(listOf(reading("a"), reading("b")), 0, fresh)
        expectThat(duty.readsSource).isFalse()
        duty.decide(listOf(reading("a", 2.seconds), reading("b")), 0, fresh)
        expectThat(duty.readsSource).isTrue()
    }

    @Test
    fun `Given enough readers but old knowledge, when decided, then this daemon readsSource whoever else does`() {
        val duty = ReaderRole("z")
        val claims = listOf(reading("a"), reading("b"))
        expectThat(duty.decide(claims, 0, 4.seconds)).isTrue()
        expectThat(duty.decide(claims, 0, Duration.INFINITE)).isTrue()
    }

    @Test
    fun `Given a hundred idle daemons, when both readers are gone, then only the four nearest the source start`() {
        val hosts = (1..100).map { "h%03d".format(it) }
        val duties = hosts.associateWith { ReaderRole(it) }
        val readers = listOf(reading("a"), reading("b"))
        duties.values.forEach { it.decide(readers, rankOf("h100"), fresh) }
        val idle = hosts.map { ReaderReport(it, rankOf(it), ReaderState.IDLE, fresh) }
        duties.forEach { (host, duty) -> duty.decide(idle.filter { it.host != host }, rankOf(host), fresh) }
        expectThat(duties.filterValues { it.readsSource }.keys).isEqualTo(setOf("h034", "h035", "h036", "h037"))
    }

    @Test
    fun `Given the best daemon that can't reach the source, when it tries, then the next one starts`() {
        val duty = ReaderRole("c")
        duty.decide(listOf(reading("a"), reading("b")), 0, fresh)
        val tries = ReaderReport("a", 0, ReaderState.TRYING, fresh)
        expectThat(duty.decide(listOf(tries, reading("b")), 0, fresh)).isTrue()
    }

    @Test
    fun `Given a region that hears nothing new, when its knowledge turns old, then its daemons start bit by bit`() {
        val duties = (1..40).map { ReaderRole("sidecar-south-$it") }
        val claims = listOf(reading("a"), reading("b"))
        duties.forEach { it.decide(claims, 0, fresh) }
        val started = (0..12).map { step ->
            duties.count { it.decide(claims, 0, ReaderRole.STALE + 100.milliseconds * step + 1.milliseconds) }
        }
        expectThat(started.first()).isLessThan(duties.size / 4)
        expectThat(started.last()).isEqualTo(duties.size)
    }

    /** Every third daemon is near the source, from h034 to h066. */
    private fun rankOf(host: String): Int = if (host in "h034".."h066") 0 else 2
}
