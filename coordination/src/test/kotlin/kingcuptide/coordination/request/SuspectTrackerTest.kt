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
    inner class `Crashes` {
        @Test
        fun `Given one crash, when the update has reached all daemons, then the fingerprint is suspect everywhere`() {
            crash("d0-h0", listOf(crashing))
            advanceRounds(rounds = 5)
            expectThat(verdicts()).all { isEqualTo(Verdict.SUSPECT) }
        }

        @Test
        fun `Given a second crash elsewhere, when the update has reached all, then it is quarantined everywhere`() {
            crash("d0-h0", listOf(crashing))
            crash("d5-h0", listOf(crashing))
            advanceRounds(rounds = 5)
            expectThat(verdicts()).all { isEqualTo(Verdict.QUARANTINED) }
        }

        @Test
        fun `Given a lost update, when daemons exchange digests, then all receive the record`() {
            crash("d0-h0", listOf(crashing))
            tracker("d0-h0").tick()
            advanceRounds(rounds = 300)
            expectThat(verdicts()).all { isEqualTo(Verdict.SUSPECT) }
        }

        @Test
        fun `Given an update about one crash, when it arrives several times, then it counts as one crash`() {
            crash("d0-h0", listOf(crashing))
            val update = tracker("d0-h0").tick().first { it.message is SuspectsUpdate }
            repeat(5) { tracker("d1-h0").receive(HostId("d0-h0"), update.message as QuarantineMessage) }
            expectThat(tracker("d1-h0").verdict(crashing)).isEqualTo(Verdict.SUSPECT)
        }

        @Test
        fun `Given a fingerprint with a recent response, when the target crashes with it, then it is not a suspect`() {
            tracker("d0-h0").answered(crashing)
            crash("d0-h0", listOf(crashing, Fingerprint(1)))
            expectThat(tracker("d0-h0").verdict(crashing)).isEqualTo(Verdict.CLEAR)
            crash("d0-h0", listOf(crashing))
            expectThat(tracker("d0-h0").verdict(crashing)).isEqualTo(Verdict.SUSPECT)
        }

        @Test
        fun `Given an entry that reports a crash, when no update has arrived yet, then the fingerprint is suspect`() {
            expectThat(tracker("d0-h0").verdict(crashing, reported = true)).isEqualTo(Verdict.SUSPECT)
        }
    }

    @Nested
    inner class `End of a suspicion` {
        @Test
        fun `Given a suspect, when a gate returns a response, then it stays clear there though updates arrive again`() {
            crash("d0-h0", listOf(crashing))
            advanceRounds(rounds = 5)
            tracker("d1-h0").answered(crashing)
            advanceRounds(rounds = 100)
            expectThat(tracker("d1-h0").verdict(crashing)).isEqualTo(Verdict.CLEAR)
        }

        @Test
        fun `Given suspects and quarantined fingerprints, when they expire, then all daemons remove them`() {
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
        fun `Given too many suspects, when they are stored, then the records and each message are bounded`() {
            repeat(200) { crashIndex -> crash("d0-h0", List(64) { Fingerprint(1_000L * crashIndex + it) }) }
            expectThat(tracker("d0-h0").counts().values.sum()).isLessThanOrEqualTo(SuspectTable.MAX_RECORDS)
            val updates = tracker("d0-h0").tick().map { it.message }.filterIsInstance<SuspectsUpdate>()
            expectThat(updates.map { it.records.size }).all { isLessThanOrEqualTo(32) }
        }
    }

    @Nested
    inner class `Home regions` {
        @Test
        fun `Given a request bound to a region, when its target crashes, then no update about it leaves the region`() {
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

    /** Advances the clock by [rounds] ticks of 100 ms; messages arrive within their round. */
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
