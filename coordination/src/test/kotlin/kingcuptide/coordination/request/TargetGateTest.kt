package kingcuptide.coordination.request

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class TargetGateTest {
    private val clock = ManualClock()
    private val gate = TargetGate(clock).apply {
        slots = 2
        coldRequestsPerSecond = 5
        coldFor(Duration.ZERO)
    }
    private val started = ArrayList<String>()
    private val refused = ArrayList<Pair<String, GateRefusal>>()
    private val running = HashMap<String, GateRequest>()

    private fun offer(
        name: String,
        priority: Int = 1,
        objective: Duration = 500.milliseconds,
        deadline: Duration = 3.seconds,
    ): GateRequest {
        val now = clock.now()
        val request = GateRequest(
            route = ROUTE,
            priority = priority,
            deadline = now + deadline,
            objectiveAt = now + objective,
            objective = objective,
            onStart = { started += name },
            onRefused = { refused += name to it },
        )
        running[name] = request
        gate.offer(request)
        return request
    }

    /** Targets that reject a share of the requests whatever their load: callers should try the next one at once. */
    @Nested
    inner class `Rejections by the target itself` {
        @Test
        fun `Given a gate where nothing waits, when its target rejects a request, then another may be tried at once`() {
            offer("a")
            offer("b")
            expectThat(gate.retryAfterRejection()).isLessThanOrEqualTo(QUICK_RETRY)
        }

        @Test
        fun `Given requests that wait, when the target rejects one, then callers stay away for longer`() {
            repeat(4) { offer("$it") }
            expectThat(gate.retryAfterRejection()).isGreaterThan(QUICK_RETRY)
        }

        @Test
        fun `Given a cold target, when it rejects a request, then callers stay away for longer`() {
            gate.coldFor(1.seconds)
            expectThat(gate.retryAfterRejection()).isGreaterThan(QUICK_RETRY)
        }
    }

    private fun end(name: String) = gate.ended(running.getValue(name), completed = true)

    /** Runs requests that take [took], so that the gate expects that run time. */
    private fun recordRunTimes(took: Duration) {
        repeat(60) {
            offer("learn")
            clock.advance(took)
            end("learn")
        }
        started.clear()
        refused.clear()
        clock.advance(2.seconds)
    }

    @Nested
    inner class `Free slots and queue` {
        @Test
        fun `Given free slots, when a request arrives, then it starts at once`() {
            offer("a")
            expectThat(started).containsExactly("a")
        }

        @Test
        fun `Given no free slot, when one is freed, then the request with priority starts, whichever arrived first`() {
            recordRunTimes(50.milliseconds)
            listOf("a", "b").forEach { offer(it) }
            offer("report", priority = 2)
            offer("booking", priority = 1)
            offer("call", priority = -1)
            end("a")
            end("b")
            expectThat(started).containsExactly("a", "b", "call", "booking")
        }

        @Test
        fun `Given a burst above capacity, when it arrives, then the excess is refused at once`() {
            recordRunTimes(200.milliseconds)
            repeat(12) { offer("r$it") }
            expectThat(gate.inFlight).isEqualTo(2)
            expectThat(gate.queued).isLessThanOrEqualTo(4)
            expectThat(refused.size).isGreaterThan(5)
            expectThat(refused.map { it.second.code }.toSet()).containsExactly(ResultCode.TARGET_FULL)
            expectThat(refused.minOf { it.second.retryAfter }).isGreaterThan(Duration.ZERO)
        }

        @Test
        fun `Given a queue full of low priority, when a request with priority arrives, then it starts next`() {
            recordRunTimes(200.milliseconds)
            repeat(12) { offer("report$it", priority = 2) }
            refused.clear()
            offer("booking", priority = 1)
            expectThat(refused).isEmpty()
            end("report0")
            expectThat(started.last()).isEqualTo("booking")
        }

        @Test
        fun `Given a queued request, when its deadline leaves no time to run, then it is refused as not run`() {
            recordRunTimes(200.milliseconds)
            listOf("a", "b").forEach { offer(it) }
            offer("c", deadline = 450.milliseconds)
            clock.advance(400.milliseconds)
            gate.serve()
            expectThat(refused.map { it.first }).containsExactly("c")
            end("a")
            expectThat(started).containsExactly("a", "b")
        }

        @Test
        fun `Given a queued request, when its caller disconnects, then it never starts`() {
            recordRunTimes(50.milliseconds)
            listOf("a", "b").forEach { offer(it) }
            val waiting = offer("c")
            gate.withdraw(waiting)
            end("a")
            expectThat(started).containsExactly("a", "b")
            expectThat(refused).isEmpty()
        }
    }

    @Nested
    inner class `Cold target` {
        @Test
        fun `Given a cold target, when many requests arrive, then starts in any second stay within its rate`() {
            recordRunTimes(1.milliseconds)
            gate.coldFor(10.seconds)
            val starts = ArrayList<Duration>()
            repeat(400) { round ->
                offer("r$round")
                clock.advance(10.milliseconds)
                gate.serve()
                while (started.isNotEmpty()) {
                    starts += clock.now()
                    end(started.removeFirst())
                }
            }
            val busiest = starts.maxOf { from -> starts.count { it >= from && it - from < 1.seconds } }
            expectThat(busiest).isLessThanOrEqualTo(5)
            expectThat(starts.size).isGreaterThan(15)
        }

        @Test
        fun `Given a new gate, when nothing is known of its target, then the target counts as cold`() {
            expectThat(TargetGate(clock).isCold()).isEqualTo(true)
        }

        @Test
        fun `Given a cold target at its rate, when a request arrives that can't wait, then it is refused as cold`() {
            recordRunTimes(20.milliseconds)
            gate.coldFor(10.seconds)
            repeat(5) {
                offer("r$it")
                end("r$it")
            }
            offer("late", objective = 100.milliseconds)
            expectThat(refused.map { it.second.code }).containsExactly(ResultCode.TARGET_COLD)
        }
    }

    @Nested
    inner class `Target that may have crashed` {
        @Test
        fun `Given a target presumed cold, when it proves that it did not restart, then it is not cold`() {
            gate.presumeCold(3.seconds)
            expectThat(gate.isCold()).isEqualTo(true)
            gate.clearPresumedCold()
            expectThat(gate.isCold()).isEqualTo(false)
        }

        @Test
        fun `Given a target that reports being cold, when a presumed crash is disproved, then it stays cold`() {
            gate.coldFor(5.seconds)
            gate.presumeCold(3.seconds)
            gate.clearPresumedCold()
            expectThat(gate.isCold()).isEqualTo(true)
        }
    }

    @Nested
    inner class `Closed target` {
        @Test
        fun `Given a leaving target, when a request arrives, then it is refused and has not run`() {
            gate.state = TargetState.LEAVING
            offer("a")
            expectThat(started).isEmpty()
            expectThat(refused.single().second.code).isEqualTo(ResultCode.DRAINING)
        }

        @Test
        fun `Given queued requests, when the failure domain is taken out, then none of them starts`() {
            recordRunTimes(50.milliseconds)
            listOf("a", "b", "c").forEach { offer(it) }
            gate.state = TargetState.TAKEN_OUT
            end("a")
            gate.serve()
            expectThat(started).containsExactly("a", "b")
            expectThat(refused.single().second.code).isEqualTo(ResultCode.FAILURE_DOMAIN_TAKEN_OUT)
        }
    }

    private companion object {
        /** A delay that leaves most of any objective. */
        val QUICK_RETRY = 50.milliseconds
        val ROUTE = RouteId("parcels")
    }
}
