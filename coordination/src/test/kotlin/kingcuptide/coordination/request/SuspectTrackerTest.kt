package kingcuptide.coordination.request

import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.QuarantineMessage
import kingcuptide.coordination.connection.SuspectsUpdate
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.RegionId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class SuspectTrackerTest {
    private val clock = ManualClock()
    private val random = Random(3)
    private val hosts = FixedFleet(List(6) { 1 }, "d0-h0").hostList.hosts
    private val trackers = hosts.associate { entry ->
        val view = FixedFleet(List(6) { 1 }, entry.host.value)
        entry.host to suspectTracker(view, Incarnation(1), clock, Random(random.nextLong()))
    }
    private val crashing = Fingerprint(66)
    private val sent = ArrayList<Pair<HostId, Outbound>>()

    @Nested
    inner class `Deaths` {
        @Test
        fun `Given one death, when the news has gone round, then the fingerprint is suspect everywhere`() {
            crash("d0-h0", listOf(crashing))
            advanceRounds(rounds = 5)
            expectThat(verdicts()).all { isEqualTo(Verdict.SUSPECT) }
        }

        @Test
        fun `Given a second death elsewhere, when the news has gone round, then it is quarantined everywhere`() {
            crash("d0-h0", listOf(crashing))
            crash("d5-h0", listOf(crashing))
            advanceRounds(rounds = 5)
            expectThat(verdicts()).all { isEqualTo(Verdict.QUARANTINED) }
        }

        @Test
        fun `Given lost news, when daemons compare, then all learn of it`() {
            crash("d0-h0", listOf(crashing))
            tracker("d0-h0").tick()
            advanceRounds(rounds = 300)
            expectThat(verdicts()).all { isEqualTo(Verdict.SUSPECT) }
        }

        @Test
        fun `Given news of one death, when it comes again and again, then it stays one death`() {
            crash("d0-h0", listOf(crashing))
            val news = tracker("d0-h0").tick().first { it.message is SuspectsUpdate }
            repeat(5) { tracker("d1-h0").receive(HostId("d0-h0"), news.message as QuarantineMessage) }
            expectThat(tracker("d1-h0").verdict(crashing)).isEqualTo(Verdict.SUSPECT)
        }

        @Test
        fun `Given a fingerprint answered just before, when the target dies with it, then it is no suspect`() {
            tracker("d0-h0").answered(crashing)
            crash("d0-h0", listOf(crashing, Fingerprint(1)))
            expectThat(tracker("d0-h0").verdict(crashing)).isEqualTo(Verdict.CLEAR)
            crash("d0-h0", listOf(crashing))
            expectThat(tracker("d0-h0").verdict(crashing)).isEqualTo(Verdict.SUSPECT)
        }

        @Test
        fun `Given an entry that saw the death, when the news is not here yet, then the fingerprint is suspect`() {
            expectThat(tracker("d0-h0").verdict(crashing, reported = true)).isEqualTo(Verdict.SUSPECT)
        }
    }

    @Nested
    inner class `End of a suspicion` {
        @Test
        fun `Given a suspect, when it is answered, then it is clear at that gate though the news comes again`() {
            crash("d0-h0", listOf(crashing))
            advanceRounds(rounds = 5)
            tracker("d1-h0").answered(crashing)
            advanceRounds(rounds = 100)
            expectThat(tracker("d1-h0").verdict(crashing)).isEqualTo(Verdict.CLEAR)
        }

        @Test
        fun `Given suspects and quarantined ones, when their time is over, then all daemons have forgotten them`() {
            crash("d0-h0", listOf(crashing, Fingerprint(5)))
            crash("d5-h0", listOf(crashing))
            advanceRounds(rounds = 5)
            repeat(14) {
                clock.advance(50.seconds)
                advanceRounds(rounds = 2)
            }
            expectThat(trackers.values.flatMap { it.counts().keys }).isEmpty()
        }

        @Test
        fun `Given far too many suspects, when they are held, then they are bounded and so is each message`() {
            repeat(200) { death -> crash("d0-h0", List(64) { Fingerprint(1_000L * death + it) }) }
            expectThat(tracker("d0-h0").counts().values.sum()).isLessThanOrEqualTo(SuspectTable.MAX_RECORDS)
            val news = tracker("d0-h0").tick().map { it.message }.filterIsInstance<SuspectsUpdate>()
            expectThat(news.map { it.records.size }).all { isLessThanOrEqualTo(32) }
        }
    }

    @Nested
    inner class `Home regions` {
        @Test
        fun `Given a request bound to a region, when its target dies, then no news of it leaves the region`() {
            val home = RegionId("r0")
            tracker("d0-h0").targetCrashed(mapOf(crashing to HomeRegions.Only(setOf(home))))
            advanceRounds(rounds = 100)
            val regions = sent
                .filter { (_, outbound) -> (outbound.message as? SuspectsUpdate)?.records.orEmpty().isNotEmpty() }
                .map { (_, outbound) -> regionOf(outbound.to) }
            expectThat(regions.toSet()).isEqualTo(setOf(home))
            expectThat(verdicts { regionOf(it) != home }).all { isEqualTo(Verdict.CLEAR) }
            expectThat(verdicts { regionOf(it) == home }).all { isEqualTo(Verdict.SUSPECT) }
        }
    }

    private fun tracker(host: String): SuspectTracker = trackers.getValue(HostId(host))

    private fun crash(host: String, inFlight: List<Fingerprint>) =
        tracker(host).targetCrashed(inFlight.associateWith { HomeRegions.Anywhere })

    private fun verdicts(condition: (HostId) -> Boolean = { true }): List<Verdict> =
        trackers.filterKeys(condition).values.map { it.verdict(crashing) }

    private fun regionOf(host: HostId): RegionId = hosts.first { it.host == host }.region

    /** Lets time pass in rounds of a tick; messages arrive within their round. */
    private fun advanceRounds(rounds: Int) = repeat(rounds) {
        clock.advance(100.milliseconds)
        var messages = trackers.flatMap { (host, tracker) -> tracker.tick().map { host to it } }
        while (messages.isNotEmpty()) {
            sent += messages
            messages = messages.flatMap { (from, outbound) -> deliver(from, outbound) }
        }
    }

    private fun deliver(from: HostId, outbound: Outbound): List<Pair<HostId, Outbound>> =
        trackers.getValue(outbound.to)
            .receive(from, outbound.message as QuarantineMessage)
            .map { outbound.to to it }
}
