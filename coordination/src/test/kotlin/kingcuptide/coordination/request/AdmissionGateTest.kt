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
        private val refusalCauses = listOf<Pair<ResultCode, () -> Unit>>(
            ResultCode.AWAKENING to { fixture.mayWork = false },
            ResultCode.DRAINING to { gate.drain {} },
            ResultCode.FAILURE_DOMAIN_TAKEN_OUT to { fixture.takenOut = true },
        )

        @Test
        fun `Given several causes of refusal, when a request arrives, then the first in order is returned`() {
            for ((code, cause) in refusalCauses.reversed()) {
                cause()
                expectThat(refusal(fixture.admit(lateForeignRequest())).code).isEqualTo(code)
            }
        }

        @Test
        fun `Given a late request of another home region, when it arrives, then the region is checked first`() {
            expectThat(refusal(fixture.admit(lateForeignRequest())).code).isEqualTo(ResultCode.WRONG_REGION)
        }

        @Test
        fun `Given a late request, when it arrives, then it is refused as not run`() {
            val refusal = refusal(fixture.admit(fixture.request(remaining = Duration.ZERO)))
            expectThat(refusal.code).isEqualTo(ResultCode.DEADLINE_PASSED)
            expectThat(refusal.outcome).isEqualTo(Outcome.NOT_RUN)
        }

        @Test
        fun `Given a quarantined fingerprint, when it arrives at an idle gate, then it is refused`() {
            fixture.verdicts[Fingerprint(9)] = Verdict.QUARANTINED
            val admission = fixture.admit(fixture.request(fingerprint = Fingerprint(9)))
            expectThat(refusal(admission).code).isEqualTo(ResultCode.QUARANTINED)
        }

        private fun lateForeignRequest() =
            fixture.request(remaining = Duration.ZERO, homeRegions = HomeRegions.Only(setOf(RegionId("south"))))
    }

    @Nested
    inner class `Limit` {
        @Test
        fun `Given random events, when many entries send too much, then no request is admitted above the limit`() {
            for (seed in 1L..40L) expectThat(worstOvershootOf(seed)).describedAs("seed $seed").isLessThanOrEqualTo(0)
        }

        @Test
        fun `Given many threads, when all send at once, then in flight never exceeds the slots`() {
            fixture.warmUp()
            val threads = List(8) { Thread { repeat(2_000) { tryOnce() } } }
            threads.forEach { it.start() }
            threads.forEach { it.join() }
            expectThat(gate.inFlight).isEqualTo(0)
        }

        @Test
        fun `Given a limit below the number in flight, when requests end, then none starts until a slot is free`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit()
            gate.targetStarted()
            tickets.drop(1).forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(gate.inFlight).isEqualTo(1)
            expectThat(fixture.decisions).isEmpty()
        }

        private fun tryOnce() {
            val admission = gate.tryAdmit(fixture.request(fingerprint = Fingerprint(7))) { finishIfAdmitted(it) }
            expectThat(gate.inFlight).isLessThanOrEqualTo(10)
            finishIfAdmitted(admission)
        }

        private fun finishIfAdmitted(admission: Admission) {
            if (admission is Admission.Admitted) admission.ticket.finish(TargetResult.Answered(status = 200))
        }

        /** Runs random events; returns by how many requests an admission exceeded the limit of that moment at worst. */
        private fun worstOvershootOf(seed: Long): Int {
            val random = Random(seed)
            val simulated = GateFixture(seed = seed)
            val tickets = ArrayList<AdmissionTicket>()
            var worst = 0
            repeat(3_000) {
                val before = simulated.gate.inFlight
                randomStep(simulated, tickets, random)
                val started = simulated.gate.inFlight > before
                if (started) worst = maxOf(worst, simulated.gate.inFlight - simulated.gate.load().limit)
            }
            return worst
        }

        private fun randomStep(simulated: GateFixture, tickets: MutableList<AdmissionTicket>, random: Random) {
            simulated.clock.advance(random.nextInt(40).milliseconds)
            simulated.decisions.filterIsInstance<Admission.Admitted>().mapTo(tickets) { it.ticket }
            simulated.decisions.clear()
            when (random.nextInt(12)) {
                in 0..5 -> (simulated.admit() as? Admission.Admitted)?.let { tickets += it.ticket }
                in 6..9 -> tickets.removeRandom(random)?.finish(TargetResult.Answered(status = 200))
                10 -> tickets.removeRandom(random)?.finish(randomFailure(random))
                else -> simulated.gate.tick()
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
        fun `Given a fresh target, when nothing has run, then the limit is the cold slots`() {
            expectThat(gate.load().limit).isEqualTo(1)
        }

        @Test
        fun `Given a fresh target, when time passes without responses, then the limit stays`() {
            fixture.clock.advance(60.seconds)
            expectThat(gate.load().limit).isEqualTo(1)
        }

        @Test
        fun `Given immediate responses, when little time has passed, then the time ramp bounds the limit`() {
            repeat(500) { fixture.runRound(1.milliseconds) }
            expectThat(gate.load().limit).isLessThanOrEqualTo(2)
        }

        @Test
        fun `Given responses during the cold start, when it has passed, then the limit is all slots`() {
            fixture.warmUp()
            expectThat(gate.load().limit).isEqualTo(10)
        }

        @Test
        fun `Given a warm target, when its failure domain was taken out and returns, then the ramp restarts`() {
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
        fun `Given a warm target, when it refuses a connection, then the ramp restarts and one request is tried`() {
            fixture.warmUp()
            fixture.ticket().finish(TargetResult.ConnectRefused)
            expectThat(gate.load().limit).isEqualTo(0)
            expectThat(refusal(fixture.admit()).code).isEqualTo(ResultCode.TARGET_DOWN)
            fixture.clock.advance(150.milliseconds)
            fixture.ticket()
            expectThat(refusal(fixture.admit()).code).isEqualTo(ResultCode.TARGET_DOWN)
        }

        @Test
        fun `Given a warm target, when one response reports overload, then the limit is halved`() {
            fixture.warmUp()
            fixture.ticket().finish(TargetResult.Answered(status = 503))
            expectThat(gate.load().limit).isEqualTo(5)
        }

        @Test
        fun `Given a warm target, when responses in a row report overload, then the ramp restarts`() {
            fixture.warmUp()
            repeat(3) {
                fixture.clock.advance(1.milliseconds)
                fixture.ticket().finish(TargetResult.Answered(status = 503))
            }
            expectThat(gate.load().limit).isEqualTo(1)
        }

        @Test
        fun `Given a warm target, when latency rises fivefold, then the ramp restarts`() {
            fixture.warmUp()
            repeat(2) { fixture.runRound(250.milliseconds) }
            expectThat(fixture.limitCuts).contains(LimitCutReason.LATENCY)
        }

        @Test
        fun `Given a warm target, when requests in flight stall, then the ramp restarts before any ends`() {
            fixture.warmUp()
            fixture.fill()
            repeat(8) {
                fixture.clock.advance(50.milliseconds)
                gate.tick()
            }
            expectThat(fixture.limitCuts).contains(LimitCutReason.LATENCY)
            expectThat(gate.load().limit).isEqualTo(1)
        }

        @Test
        fun `Given requests in flight, when this process was paused, then they do not count as stalled`() {
            fixture.warmUp()
            fixture.fill()
            fixture.clock.advance(10.seconds)
            gate.tick()
            expectThat(fixture.limitCuts).isEmpty()
        }

        @Test
        fun `Given latency that does not depend on load, when it rises, then the limit is back within seconds`() {
            fixture.warmUp()
            val changedAt = fixture.clock.now()
            while (gate.load().limit == 10) fixture.runRound(250.milliseconds)
            while (gate.load().limit < 10) fixture.runRound(250.milliseconds)
            expectThat(fixture.clock.now() - changedAt).isLessThanOrEqualTo(20.seconds)
        }

        @Test
        fun `Given random noise, when latency varies threefold, then the limit stays`() {
            val random = Random(5)
            fixture.warmUp()
            repeat(2_000) { fixture.runRound((30 + random.nextInt(60)).milliseconds) }
            expectThat(fixture.limitCuts).isEmpty()
        }
    }

    @Nested
    inner class `Queue` {
        @Test
        fun `Given a full target, when a slot is freed, then the request with the earliest deadline starts`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit(fixture.request(remaining = 3.seconds))
            val earliest = fixture.request(remaining = 1.seconds)
            fixture.admit(earliest)
            tickets.first().finish(TargetResult.Answered(status = 200))
            expectThat(fixture.decisions).hasSize(1).get { first() }.isA<Admission.Admitted>()
            expectThat(gate.load().queued).isEqualTo(1)
        }

        @Test
        fun `Given a full queue, when a request arrives, then it is refused at once with a retry time`() {
            fixture.warmUp()
            fixture.fill()
            repeat(5) { expectThat(fixture.admit()).isA<Admission.Queued>() }
            val refusal = refusal(fixture.admit())
            expectThat(refusal.code).isEqualTo(ResultCode.TARGET_FULL)
            expectThat(refusal.retryAfter).isIn(RETRY_AFTER_RANGE)
        }

        @Test
        fun `Given a request that would miss its deadline in the queue, when it arrives, then it is refused at once`() {
            fixture.warmUp()
            fixture.fill()
            val refusal = refusal(fixture.admit(fixture.request(remaining = 20.milliseconds)))
            expectThat(refusal.code).isEqualTo(ResultCode.TARGET_FULL)
        }

        @Test
        fun `Given a queued request, when it has waited too long, then it is refused and never starts`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit()
            fixture.clock.advance(250.milliseconds)
            gate.tick()
            tickets.forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(fixture.decisions).hasSize(1).get { first() }.isA<Admission.Refused>()
        }

        @Test
        fun `Given a queued request, when the process resumes and may not accept work, then it does not start`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit()
            fixture.mayWork = false
            tickets.first().finish(TargetResult.Answered(status = 200))
            expectThat(refusal(fixture.decisions.single()).code).isEqualTo(ResultCode.AWAKENING)
        }

        @Test
        fun `Given a queued request, when it is cancelled, then it never starts and its callback is not called`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            val queued = fixture.admit() as Admission.Queued
            expectThat(queued.entry.cancel()).isTrue()
            tickets.forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(fixture.decisions).isEmpty()
            expectThat(queued.entry.cancel()).isFalse()
        }
    }

    @Nested
    inner class `Drain` {
        @Test
        fun `Given requests in flight and queued, when draining, then only those in flight complete`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            fixture.admit()
            var drained = false
            gate.drain { drained = true }
            expectThat(refusal(fixture.decisions.single()).code).isEqualTo(ResultCode.DRAINING)
            tickets.drop(1).forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(drained).isFalse()
            tickets.first().finish(TargetResult.Answered(status = 200))
            expectThat(drained).isTrue()
        }

        @Test
        fun `Given nothing in flight, when draining, then it completes at once`() {
            var drained = false
            gate.drain { drained = true }
            expectThat(drained).isTrue()
        }
    }

    @Nested
    inner class `Suspects` {
        private val suspect = fixture.request(fingerprint = Fingerprint(99))

        @Test
        fun `Given requests in flight, when a suspect arrives, then it waits for them and runs without others`() {
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
        fun `Given a suspect at the target, when another arrives, then it is refused`() {
            fixture.verdicts[suspect.fingerprint] = Verdict.SUSPECT
            fixture.ticket(suspect)
            expectThat(refusal(fixture.admit(suspect)).code).isEqualTo(ResultCode.SUSPECT_BUSY)
        }

        @Test
        fun `Given a target that stays busy, when a suspect waits, then it is refused in bounded time`() {
            fixture.warmUp()
            fixture.fill()
            fixture.verdicts[suspect.fingerprint] = Verdict.SUSPECT
            fixture.admit(suspect)
            fixture.clock.advance(1_100.milliseconds)
            gate.tick()
            expectThat(refusal(fixture.decisions.single()).code).isEqualTo(ResultCode.SUSPECT_BUSY)
            expectThat(gate.load().limit).isGreaterThanOrEqualTo(1)
        }

        @Test
        fun `Given a completed suspect, when another arrives soon, then it is refused for a while`() {
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
        fun `Given requests in flight, when all connections are lost, then they count as one crash`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            tickets.forEach { it.finish(TargetResult.ConnectionLost) }
            expectThat(fixture.crashes).hasSize(1)[0].hasSize(10)
            expectThat(fixture.limitCuts).containsExactly(LimitCutReason.TARGET_DIED)
        }

        @Test
        fun `Given requests in flight, when one connection is lost and others get responses, then it is no crash`() {
            fixture.warmUp()
            val tickets = fixture.fill()
            tickets.first().finish(TargetResult.ConnectionLost)
            tickets.drop(1).forEach { it.finish(TargetResult.Answered(status = 200)) }
            expectThat(fixture.crashes).isEmpty()
        }
    }

    private fun refusal(admission: Admission): Admission.Refused = admission as Admission.Refused
}
