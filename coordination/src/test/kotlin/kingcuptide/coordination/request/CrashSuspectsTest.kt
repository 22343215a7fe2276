package kingcuptide.coordination.request

import kingcuptide.coordination.connection.CrashRecord
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.version.TargetId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class CrashSuspectsTest {
    private val clock = ManualClock()
    private val daemons = List(3) { CrashSuspects(HostId("h$it"), incarnation = 7, clock) }
    private val crashing = request("/crashing")

    /** What targets have survived before they crash. */
    private var survivedBefore = emptyList<SurvivedRun>()

    private fun request(path: String, caller: String = "") =
        FingerprintInput(RouteId("r"), "GET", path, ByteArray(0), caller)

    /** The target beside the daemon [at] crashes with [inFlight], which it began to run a second after the crash before. */
    private fun crash(at: Int, vararg inFlight: FingerprintInput) {
        clock.advance(1.seconds)
        crashAtOnce(at, *inFlight, startedAt = clock.now())
    }

    private fun crashAtOnce(at: Int, vararg inFlight: FingerprintInput, startedAt: Duration) {
        val target = TargetId("t$at")
        val candidates = inFlight.map { CrashCandidate(it, target, startedAt, clock.now()) }
        tellOthers(at, daemons[at].targetCrashed(target, candidates, survivedBefore))
    }

    /** The target beside the daemon [at] survives [request] from now on. */
    private fun survived(at: Int, request: FingerprintInput) {
        clock.advance(1.milliseconds)
        survivedRun(at, SurvivedRun(request, clock.now()))
    }

    private fun survivedRun(at: Int, run: SurvivedRun) = tellOthers(at, daemons[at].survived { listOf(run) })

    private fun tellOthers(at: Int, records: List<CrashRecord>) =
        daemons.filterIndexed { index, _ -> index != at }.forEach { it.merge(records) }

    private fun verdicts(request: FingerprintInput) = daemons.map { it.verdict(request) }.toSet()

    @Test
    fun `Given a request that crashes two targets under load, when it is retried, then every daemon quarantines it`() {
        crash(0, crashing, request("/2"), request("/3"))
        expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.SUSPECT))
        crash(1, crashing, request("/4"), request("/5"))
        expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.QUARANTINED))
        expectThat(verdicts(request("/4"))).isEqualTo(setOf(Verdict.SUSPECT))
    }

    /** Guards against a request that two connections of one crashed target quarantine. */
    @Test
    fun `Given one crash, when its requests are recorded in two parts, then each has one crash`() {
        crash(0, crashing, request("/2"))
        crash(0, crashing)
        expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.SUSPECT))
        daemons[0].targetResponds(TargetId("t0"))
        crash(0, crashing)
        expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.QUARANTINED))
    }

    /** Guards against a daemon that starts after the crashes and knows of none. */
    @Test
    fun `Given a quarantine, when a daemon that started later gets the records, then all end together`() {
        crash(0, crashing)
        crash(1, crashing, request("/2"))
        clock.advance(50.seconds)
        daemons.forEach { it.tick() }
        val restarted = CrashSuspects(HostId("h2"), incarnation = 8, clock)
        restarted.merge(daemons[2].records())
        expectThat(restarted.verdict(crashing)).isEqualTo(Verdict.QUARANTINED)
        clock.advance(10.seconds)
        expectThat((daemons + restarted).map { it.verdict(crashing) }.toSet()).isEqualTo(setOf(Verdict.CLEAR))
        clock.advance(60.seconds)
        restarted.tick()
        expectThat(restarted.records()).isEmpty()
    }

    @Test
    fun `Given a quarantine, when it expires, then all daemons remove its record`() {
        crash(0, crashing)
        clock.advance(20.seconds)
        crash(1, crashing)
        clock.advance(59.seconds)
        daemons.forEach { it.tick() }
        expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.QUARANTINED))
        clock.advance(1.seconds)
        expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.CLEAR))
        clock.advance(60.seconds)
        daemons.forEach { it.tick() }
        expectThat(daemons.all { it.isEmpty }).isTrue()
    }

    @Test
    fun `Given a crash, when the next one comes after 30 s, then the request is not quarantined`() {
        crash(0, crashing)
        clock.advance(29.seconds)
        crash(1, crashing)
        expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.SUSPECT))
    }

    /** Guards against a request that is refused for a minute although targets keep responding to it. */
    @Nested
    inner class `Requests that targets survive` {
        @Test
        fun `Given a crash, when another target survives the request since, then it is clear at all daemons`() {
            crash(0, crashing)
            survived(1, crashing)
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.CLEAR))
        }

        /** Guards against a hash of each request for minutes after crashes that no request is refused for. */
        @Test
        fun `Given crashes that are cleared, when requests come, then none of them needs a verdict`() {
            crash(0, crashing)
            expectThat(daemons.any { it.mayQuarantine }).isFalse()
            survived(1, crashing)
            crash(1, crashing)
            expectThat(daemons.any { it.mayQuarantine }).isFalse()
            crash(2, crashing)
            expectThat(daemons.all { it.mayQuarantine }).isTrue()
        }

        @Test
        fun `Given a page that many request, when it is in flight at each crash, then it is never quarantined`() {
            repeat(20) {
                crash(it % daemons.size, crashing)
                daemons[it % daemons.size].targetResponds(TargetId("t${it % daemons.size}"))
                expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.SUSPECT))
                survived((it + 1) % daemons.size, crashing)
                clock.advance(2.seconds)
            }
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.CLEAR))
        }

        /** Guards against pages that are refused since several targets crashed at once for another cause. */
        @Test
        fun `Given crashes at once, when their runs started before the first, then a later run decides`() {
            val startedAt = clock.now()
            clock.advance(1.seconds)
            repeat(3) {
                crashAtOnce(it, crashing, startedAt = startedAt)
                clock.advance(100.milliseconds)
            }
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.SUSPECT))
            daemons[0].targetResponds(TargetId("t0"))
            crash(0, crashing)
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.QUARANTINED))
            survived(2, crashing)
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.CLEAR))
        }

        @Test
        fun `Given records from before a survived run, when they arrive late, then the crash stays cleared`() {
            crash(0, crashing)
            val early = daemons[0].records()
            survived(1, crashing)
            daemons.forEach { it.merge(early) }
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.CLEAR))
        }
    }

    /** Guards against a request that crashes each target and is passed on, since a survived run seems to clear it. */
    @Nested
    inner class `Runs that prove nothing` {
        @Test
        fun `Given a run that started before the crash, when it is survived, then the request stays a suspect`() {
            val startedAt = clock.now()
            clock.advance(1.milliseconds)
            crash(0, crashing)
            survivedRun(1, SurvivedRun(crashing, startedAt))
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.SUSPECT))
        }

        /** The page was served before: what it crashes targets with is new. */
        @Test
        fun `Given a page that targets survived, when it begins to crash them, then it is quarantined after three`() {
            survivedBefore = listOf(SurvivedRun(crashing, clock.now()))
            crash(0, crashing)
            crash(1, crashing)
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.SUSPECT))
            crash(2, crashing)
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.QUARANTINED))
        }

        @Test
        fun `Given another request that targets survived, when one crashes two, then it is quarantined`() {
            survivedBefore = listOf(SurvivedRun(request("/other"), clock.now()))
            crash(0, crashing)
            crash(1, crashing)
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.QUARANTINED))
        }

        @Test
        fun `Given requests of two callers, when one is survived, then the other one is quarantined`() {
            crash(0, request("/a", "one"), request("/a", "two"))
            survived(1, request("/a", "two"))
            crash(2, request("/a", "one"))
            survived(1, request("/a", "two"))
            expectThat(verdicts(request("/a", "one"))).isEqualTo(setOf(Verdict.QUARANTINED))
            expectThat(verdicts(request("/a", "two"))).isEqualTo(setOf(Verdict.CLEAR))
        }

        @Test
        fun `Given requests of changing callers, when none is survived, then those of all callers are quarantined`() {
            crash(0, request("/a", "one"))
            crash(1, request("/a", "two"))
            expectThat(verdicts(request("/a", "three"))).isEqualTo(setOf(Verdict.QUARANTINED))
        }

        @Test
        fun `Given two crashes, when a run between them is survived, then only the first is cleared`() {
            crash(0, crashing)
            survived(1, crashing)
            clock.advance(1.milliseconds)
            crash(1, crashing)
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.SUSPECT))
            crash(2, crashing)
            expectThat(verdicts(crashing)).isEqualTo(setOf(Verdict.QUARANTINED))
        }
    }

    /** Guards against quarantines that are lost or lifted while daemons of two builds run side by side. */
    @Nested
    inner class `Daemons of an earlier build` {
        @Test
        fun `Given a quarantine, when it is sent to an earlier build and back, then it holds`() {
            crash(0, crashing)
            crash(1, crashing)
            val restarted = CrashSuspects(HostId("h9"), incarnation = 8, clock)
            restarted.mergeEarlier(daemons[0].records().mapNotNull(CrashSuspects::toEarlier))
            expectThat(restarted.verdict(crashing)).isEqualTo(Verdict.QUARANTINED)
            clock.advance(1.milliseconds)
            restarted.survived { listOf(SurvivedRun(crashing, clock.now())) }
            expectThat(restarted.verdict(crashing)).isEqualTo(Verdict.QUARANTINED)
        }

        @Test
        fun `Given a cleared crash, when its record is sent to an earlier build, then it is left out`() {
            crash(0, crashing)
            survived(1, crashing)
            expectThat(daemons[0].records().mapNotNull(CrashSuspects::toEarlier)).isEmpty()
        }
    }
}
