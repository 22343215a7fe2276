package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.version.TargetId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

internal class CrashSuspectsTest {
    private val clock = ManualClock()
    private val daemons = List(3) { CrashSuspects(HostId("h$it"), incarnation = 7, clock) }
    private val crashing = Fingerprint(1)

    private fun crash(at: Int, inFlight: List<Fingerprint>) {
        val records = daemons[at].targetCrashed(TargetId("t$at"), inFlight)
        daemons.filterIndexed { index, _ -> index != at }.forEach { it.merge(records) }
    }

    @Test
    fun `Given a request that crashes two targets under load, when it is retried, then every daemon quarantines it`() {
        crash(0, listOf(crashing, Fingerprint(2), Fingerprint(3)))
        expectThat(daemons.map { it.verdict(crashing) }.toSet()).isEqualTo(setOf(Verdict.SUSPECT))
        crash(1, listOf(crashing, Fingerprint(4), Fingerprint(5)))
        expectThat(daemons.map { it.verdict(crashing) }.toSet()).isEqualTo(setOf(Verdict.QUARANTINED))
        expectThat(daemons.map { it.verdict(Fingerprint(4)) }.toSet()).isEqualTo(setOf(Verdict.SUSPECT))
    }

    @Test
    fun `Given a suspect that is harmless, when a target responds to it, then it is clear at that daemon`() {
        crash(0, listOf(crashing))
        daemons[1].answered(crashing)
        expectThat(daemons[1].verdict(crashing)).isEqualTo(Verdict.CLEAR)
    }

    /** Guards against a request that two connections of one crashed target quarantine. */
    @Test
    fun `Given one crash, when its requests are recorded in two parts, then each has one crash`() {
        crash(0, listOf(crashing, Fingerprint(2)))
        crash(0, listOf(crashing))
        expectThat(daemons.map { it.verdict(crashing) }.toSet()).isEqualTo(setOf(Verdict.SUSPECT))
        daemons[0].targetResponds(TargetId("t0"))
        crash(0, listOf(crashing))
        expectThat(daemons.map { it.verdict(crashing) }.toSet()).isEqualTo(setOf(Verdict.QUARANTINED))
    }

    /** Guards against a daemon that starts after the crashes and knows of none. */
    @Test
    fun `Given a quarantine, when a daemon that started later gets the records, then all end together`() {
        crash(0, listOf(crashing))
        crash(1, listOf(crashing, Fingerprint(2)))
        clock.advance(50.seconds)
        val restarted = CrashSuspects(HostId("h2"), incarnation = 8, clock)
        restarted.merge(daemons[2].records())
        expectThat(restarted.verdict(crashing)).isEqualTo(Verdict.QUARANTINED)
        clock.advance(11.seconds)
        restarted.tick()
        expectThat(restarted.isEmpty).isTrue()
        expectThat(restarted.records()).isEmpty()
    }

    @Test
    fun `Given a quarantine, when it expires, then all daemons remove its record`() {
        crash(0, listOf(crashing))
        crash(1, listOf(crashing))
        clock.advance(61.seconds)
        daemons.forEach { it.tick() }
        expectThat(daemons.all { it.isEmpty }).isTrue()
    }
}
