package kingcuptide.coordination.request

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.get
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class AdmissionGateTest {
    private val fixture = GateFixture()
    private val gate = fixture.gate

    @Nested
    inner class `Order of checks` {
        private val faults = listOf<Pair<ResultCode, () -> Unit>>(
            ResultCode.AWAKENING to { fixture.awake = false },
            ResultCode.DRAINING to { gate.drain {} },
            ResultCode.FAILURE_DOMAIN_TAKEN_OUT to { fixture.takenOut = true },
        )

        @Test
        fun `Given several reasons to refuse, when a request comes, then the first in order is told`() {
            for ((code, apply) in faults.reversed()) {
                apply()
                expectThat(refusal(fixture.admit(badRequest())).code).isEqualTo(code)
            }
        }

        @Test
        fun `Given a request at home elsewhere and late, when it comes, then its region is told before its deadline`() {
            expectThat(refusal(fixture.admit(badRequest())).code).isEqualTo(ResultCode.WRONG_REGION)
        }

        @Test
        fun `Given a late request, when it comes, then it is refused as not run`() {
            val refusal = refusal(fixture.admit(fixture.request(remaining = Duration.ZERO)))
            expectThat(refusal.code).isEqualTo(ResultCode.DEADLINE_PASSED)
            expectThat(refusal.outcome).isEqualTo(Outcome.NOT_RUN)
        }

        @Test
        fun `Given a quarantined fingerprint, when it comes to an idle gate, then it is refused`() {
            fixture.verdicts[Fingerprint(9)] = Verdict.QUARANTINED
            val admission = fixture.admit(fixture.request(fingerprint = Fingerprint(9)))
            expectThat(refusal(admission).code).isEqualTo(ResultCode.QUARANTINED)
        }

        private fun badRequest() =
            fixture.request(remaining = Duration.ZERO, homeRegions = HomeRegions.Only(setOf(RegionId("south"))))
    }

    @Nested
    inner class `Limit` {
        @Test
        fun `Given any order of events, when many entries err at once, then in flight never passes the limit`() {
            for (seed in 1L..40L) expectThat(worstExcess(seed)).describedAs("seed $seed").isLessThanOrEqualTo(0)
        }

        @Test
        fun `Given many threads, when all send at once, then in flight never passes the slots`() {
            fixture.warmUp()
            val threads = List(8) { Thread { repeat(2_000) { tryOnce() } } }
            threads.forEach { it.start() }
            threads.forEach { it.join() }
            expectThat(gate.inFlight).isEqualTo(0)
        }

        @Test
        fun `Given a limit lowered below what is in flight, when requests end, then none starts until there is room`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit()
            gate.targetStarted()
            tickets.drop(1).forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(gate.inFlight).isEqualTo(1)
            expectThat(fixture.decided).isEmpty()
        }

        private fun tryOnce() {
            val admission = gate.tryAdmit(fixture.request(fingerprint = Fingerprint(7))) { ended(it) }
            expectThat(gate.inFlight).isLessThanOrEqualTo(10)
            ended(admission)
        }

        private fun ended(admission: Admission) {
            if (admission is Admission.Admitted) admission.ticket.finish(TargetResult.Answered(status = 200))
        }

        /** Drives a gate by chance; a request admitted must have been within the limit of that moment. */
        private fun worstExcess(seed: Long): Int {
            val random = Random(seed)
            val driven = GateFixture(seed = seed)
            val tickets = ArrayList<AdmissionTicket>()
            var worst = 0
            repeat(3_000) {
                val before = driven.gate.inFlight
                step(driven, tickets, random)
                val started = driven.gate.inFlight > before
                if (started) worst = maxOf(worst, driven.gate.inFlight - driven.gate.load().limit)
            }
            return worst
        }

        private fun step(driven: GateFixture, tickets: MutableList<AdmissionTicket>, random: Random) {
            driven.clock.advance(random.nextInt(40).milliseconds)
            driven.decided.filterIsInstance<Admission.Admitted>().mapTo(tickets) { it.ticket }
            driven.decided.clear()
            when (random.nextInt(12)) {
                in 0..5 -> (driven.admit() as? Admission.Admitted)?.let { tickets += it.ticket }
                in 6..9 -> tickets.removeRandom(random)?.finish(TargetResult.Answered(status = 200))
                10 -> tickets.removeRandom(random)?.finish(randomFailure(random))
                else -> driven.gate.tick()
            }
        }

        private fun randomFailure(random: Random): TargetResult = listOf(
            TargetResult.Answered(status = 503),
            TargetResult.ConnectRefused,
            TargetResult.ConnectionLost,
            TargetResult.TimedOut,
            TargetResult.Cancelled,
        ).random(random)

        private fun MutableList<AdmissionTicket>.removeRandom(random: Random): AdmissionTicket? =
            if (isEmpty()) null else removeAt(random.nextInt(size))
    }

    @Nested
    inner class `Cold start` {
        @Test
        fun `Given a fresh target, when requests come, then it gets its cold slots`() {
            expectThat(gate.load().limit).isEqualTo(1)
        }

        @Test
        fun `Given time without answers, when it has passed, then the limit stays`() {
            fixture.clock.advance(60.seconds)
            expectThat(gate.load().limit).isEqualTo(1)
        }

        @Test
        fun `Given answers at once, when little time has passed, then the limit follows the time`() {
            repeat(500) { fixture.round(1.milliseconds) }
            expectThat(gate.load().limit).isLessThanOrEqualTo(2)
        }

        @Test
        fun `Given answers over the cold start, when it has passed, then the limit is all slots`() {
            fixture.warmUp()
            expectThat(gate.load().limit).isEqualTo(10)
        }

        @Test
        fun `Given a warm target, when its failure domain was out and returns, then the ramp starts over`() {
            fixture.warmUp()
            fixture.takenOut = true
            gate.tick()
            fixture.takenOut = false
            gate.tick()
            expectThat(gate.load().limit).isEqualTo(1)
        }
    }

    @Nested
    inner class `Target that turns cold without warning` {
        @Test
        fun `Given a warm target, when it refuses a connection, then the ramp starts over and others wait`() {
            fixture.warmUp()
            fixture.ticket().finish(TargetResult.ConnectRefused)
            expectThat(gate.load().limit).isEqualTo(0)
            expectThat(refusal(fixture.admit()).code).isEqualTo(ResultCode.TARGET_DOWN)
            fixture.clock.advance(150.milliseconds)
            fixture.ticket()
            expectThat(refusal(fixture.admit()).code).isEqualTo(ResultCode.TARGET_DOWN)
        }

        @Test
        fun `Given a warm target, when one answer says overloaded, then the limit is halved`() {
            fixture.warmUp()
            fixture.ticket().finish(TargetResult.Answered(status = 503))
            expectThat(gate.load().limit).isEqualTo(5)
        }

        @Test
        fun `Given a warm target, when answers say overloaded in a row, then the ramp starts over`() {
            fixture.warmUp()
            repeat(3) {
                fixture.clock.advance(1.milliseconds)
                fixture.ticket().finish(TargetResult.Answered(status = 503))
            }
            expectThat(gate.load().limit).isEqualTo(1)
        }

        @Test
        fun `Given a warm target, when answers take five times as long, then the ramp starts over`() {
            fixture.warmUp()
            repeat(2) { fixture.round(250.milliseconds) }
            expectThat(fixture.cuts).contains(LimitCutReason.LATENCY)
        }

        @Test
        fun `Given a warm target, when requests in flight stall, then the ramp starts over before any ends`() {
            fixture.warmUp()
            fixture.fill()
            repeat(8) {
                fixture.clock.advance(50.milliseconds)
                gate.tick()
            }
            expectThat(fixture.cuts).contains(LimitCutReason.LATENCY)
            expectThat(gate.load().limit).isEqualTo(1)
        }

        @Test
        fun `Given requests in flight, when this process was paused, then they do not count as stalled`() {
            fixture.warmUp()
            fixture.fill()
            fixture.clock.advance(10.seconds)
            gate.tick()
            expectThat(fixture.cuts).isEmpty()
        }

        @Test
        fun `Given latency that does not depend on load, when it rises, then the limit is back within seconds`() {
            fixture.warmUp()
            val changedAt = fixture.clock.now()
            while (gate.load().limit == 10) fixture.round(250.milliseconds)
            while (gate.load().limit < 10) fixture.round(250.milliseconds)
            expectThat(fixture.clock.now() - changedAt).isLessThanOrEqualTo(20.seconds)
        }

        @Test
        fun `Given usual noise, when latency varies threefold, then the limit stays`() {
            val random = Random(5)
            fixture.warmUp()
            repeat(2_000) { fixture.round((30 + random.nextInt(60)).milliseconds) }
            expectThat(fixture.cuts).isEmpty()
        }
    }

    @Nested
    inner class `Queue` {
        @Test
        fun `Given a full target, when a place is free, then the earliest deadline gets it`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit(fixture.request(remaining = 3.seconds))
            val urgent = fixture.request(remaining = 1.seconds)
            fixture.admit(urgent)
            tickets.first().finish(TargetResult.Answered(status = 200))
            expectThat(fixture.decided).hasSize(1).get { first() }.isA<Admission.Admitted>()
            expectThat(gate.load().queued).isEqualTo(1)
        }

        @Test
        fun `Given a full queue, when another comes, then it is refused at once with a time to come back`() {
            fixture.warmUp()
            fixture.fill()
            repeat(5) { expectThat(fixture.admit()).isA<Admission.Queued>() }
            val refusal = refusal(fixture.admit())
            expectThat(refusal.code).isEqualTo(ResultCode.TARGET_FULL)
            expectThat(refusal.retryAfter).isIn(RETRY_AFTER_RANGE)
        }

        @Test
        fun `Given a request that would come too late here, when it comes, then it may go elsewhere at once`() {
            fixture.warmUp()
            fixture.fill()
            val refusal = refusal(fixture.admit(fixture.request(remaining = 20.milliseconds)))
            expectThat(refusal.code).isEqualTo(ResultCode.TARGET_FULL)
        }

        @Test
        fun `Given a waiting request, when it has waited too long, then it is refused and never starts`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit()
            fixture.clock.advance(250.milliseconds)
            gate.tick()
            tickets.forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(fixture.decided).hasSize(1).get { first() }.isA<Admission.Refused>()
        }

        @Test
        fun `Given a waiting request, when the process wakes and may take no work, then it does not start`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit()
            fixture.awake = false
            tickets.first().finish(TargetResult.Answered(status = 200))
            expectThat(refusal(fixture.decided.single()).code).isEqualTo(ResultCode.AWAKENING)
        }

        @Test
        fun `Given a waiting request, when it is cancelled, then it never starts and its callback is not called`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            val queued = fixture.admit() as Admission.Queued
            expectThat(queued.entry.cancel()).isTrue()
            tickets.forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(fixture.decided).isEmpty()
            expectThat(queued.entry.cancel()).isFalse()
        }
    }

    @Nested
    inner class `Drain` {
        @Test
        fun `Given requests in flight and waiting, when draining, then those run to their end and these are refused`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit()
            var drained = false
            gate.drain { drained = true }
            expectThat(refusal(fixture.decided.single()).code).isEqualTo(ResultCode.DRAINING)
            tickets.drop(1).forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(drained).isFalse()
            tickets.first().finish(TargetResult.Answered(status = 200))
            expectThat(drained).isTrue()
        }

        @Test
        fun `Given nothing in flight, when draining, then it is done at once`() {
            var drained = false
            gate.drain { drained = true }
            expectThat(drained).isTrue()
        }
    }

    @Nested
    inner class `Suspects` {
        private val suspect = fixture.request(fingerprint = Fingerprint(99))

        @Test
        fun `Given requests in flight, when a suspect comes, then it waits until it is alone and stays alone`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.verdicts[suspect.fingerprint] = Verdict.SUSPECT
            expectThat(fixture.admit(suspect)).isA<Admission.Queued>()
            tickets.forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(gate.inFlight).isEqualTo(1)
            expectThat(fixture.admit()).isA<Admission.Queued>()
            expectThat(gate.inFlight).isEqualTo(1)
        }

        @Test
        fun `Given a suspect at the target, when another comes, then it is refused`() {
            fixture.verdicts[suspect.fingerprint] = Verdict.SUSPECT
            fixture.ticket(suspect)
            expectThat(refusal(fixture.admit(suspect)).code).isEqualTo(ResultCode.SUSPECT_BUSY)
        }

        @Test
        fun `Given a target that does not get empty, when a suspect waits, then it gives up in bounded time`() {
            fixture.warmUp()
            fixture.fill()
            fixture.verdicts[suspect.fingerprint] = Verdict.SUSPECT
            fixture.admit(suspect)
            fixture.clock.advance(1_100.milliseconds)
            gate.tick()
            expectThat(refusal(fixture.decided.single()).code).isEqualTo(ResultCode.SUSPECT_BUSY)
            expectThat(gate.load().limit).isGreaterThanOrEqualTo(1)
        }

        @Test
        fun `Given an answered suspect, when others come, then they get most of the time`() {
            fixture.verdicts[suspect.fingerprint] = Verdict.SUSPECT
            val ticket = fixture.ticket(suspect)
            fixture.clock.advance(100.milliseconds)
            ticket.finish(TargetResult.Answered(status = 200))
            fixture.verdicts[suspect.fingerprint] = Verdict.SUSPECT
            expectThat(refusal(fixture.admit(suspect)).code).isEqualTo(ResultCode.SUSPECT_BUSY)
            fixture.clock.advance(400.milliseconds)
            expectThat(fixture.admit(suspect)).isA<Admission.Admitted>()
        }

        @Test
        fun `Given requests in flight, when all connections are lost, then it is one death with all of them`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            tickets.forEach { it.finish(TargetResult.ConnectionLost) }
            expectThat(fixture.deaths).hasSize(1)[0].hasSize(10)
            expectThat(fixture.cuts).containsExactly(LimitCutReason.TARGET_DIED)
        }

        @Test
        fun `Given requests in flight, when one connection is lost and another answers, then it is no death`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            tickets.first().finish(TargetResult.ConnectionLost)
            tickets.drop(1).forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(fixture.deaths).isEmpty()
        }
    }

    private fun refusal(admission: Admission): Admission.Refused = admission as Admission.Refused
}
