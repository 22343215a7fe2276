package kingcuptide.coordination.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.first
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.single
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class GateConnectionTest {
    private val clock = FakeClock()
    private val settings = ConnectionSettings(maxRequests = 3, windowBytes = 1_000)
    private val gate = gateConnection(clock, settings) { sampleLoad }.also {
        it.receive(Hello(PROTOCOL_VERSION, HostId("entry"), Incarnation(1)))
    }

    private fun head(
        number: Long,
        sent: Duration = clock.now(),
        remaining: Duration = 5.seconds,
    ) = sampleHead.copy(
        number = number,
        gateTimestampMs = sent.inWholeMilliseconds,
        remainingMs = remaining.inWholeMilliseconds,
    )

    private fun accept(number: Long) {
        expectThat(gate.receive(head(number))).isA<GateDecision.Accepted>()
    }

    private fun refusedWith(decision: GateDecision): Refusal? =
        (decision as? GateDecision.Write)?.frames?.filterIsInstance<Refusal>()?.singleOrNull()

    @Nested
    inner class Freshness {
        @Test
        fun `Given a hello, when it arrives, then a gate timestamp is issued at once`() {
            expectThat(gate.receive(Hello(PROTOCOL_VERSION, HostId("e"), Incarnation(2))))
                .isEqualTo(GateDecision.Established(HostId("e"), Incarnation(2), GateTimestamp(1_000_000)))
        }

        @Test
        fun `Given a frame before the hello, when it arrives, then the connection closes`() {
            val unknown = gateConnection(clock, settings) { sampleLoad }

            expectThat(unknown.receive(head(1))).isA<GateDecision.CloseConnection>()
        }

        @Test
        fun `Given a head delayed in a buffer, when the gate receives it, then it is refused as not run`() {
            val delayed = head(1)
            clock.time += settings.maxTransitTime + 1.milliseconds

            val refusal = refusedWith(gate.receive(delayed))

            expectThat(refusal).isEqualTo(
                Refusal(1, ResultCode.STALE_FRAME.number, Outcome.NOT_RUN, retryAfterMs = 0, load = sampleLoad),
            )
            expectThat(gate.beginForward(1)).isEqualTo(Err(ResultCode.CANCELLED))
        }

        @Test
        fun `Given a timestamp too far ahead of the gate's clock, when the head arrives, then it is refused`() {
            val ahead = head(1, sent = clock.now() + settings.maxClockLead + 1.milliseconds)

            expectThat(refusedWith(gate.receive(ahead))?.code).isEqualTo(ResultCode.STALE_FRAME.number)
        }

        @Test
        fun `Given a head delayed in transit, when it is accepted, then its deadline counts from its sending`() {
            val sent = clock.now()
            clock.time += 400.milliseconds

            expectThat(gate.receive(head(1, sent, remaining = 2.seconds)))
                .isA<GateDecision.Accepted>()
                .get { deadline }
                .isEqualTo(sent + 2.seconds)
        }

        @Test
        fun `Given an admitted request, when the gate pauses past its deadline, then it does not start`() {
            accept(1)
            clock.time += 5.seconds

            expectThat(gate.beginForward(1)).isEqualTo(Err(ResultCode.DEADLINE_PASSED))
        }
    }

    @Nested
    inner class Numbers {
        @Test
        fun `Given a number in use, when it is repeated, then it is dropped without a reply`() {
            accept(1)
            gate.beginForward(1)

            expectThat(gate.receive(head(1))).isEqualTo(GateDecision.Dropped(ResultCode.DUPLICATE_FRAME_DROPPED))
            expectThat(gate.counters().duplicatesDropped).isEqualTo(1)
        }

        @Test
        fun `Given numbers out of order, when they arrive, then each is accepted once`() {
            accept(3)
            accept(1)

            expectThat(gate.receive(head(3))).isA<GateDecision.Dropped>()
            expectThat(gate.receive(head(1))).isA<GateDecision.Dropped>()
            accept(2)
        }

        @Test
        fun `Given a number below the window, when it arrives, then it counts as used`() {
            accept(NumberWindow.WINDOW_SIZE + 10L)

            expectThat(gate.receive(head(10))).isA<GateDecision.Dropped>()
            accept(11)
        }

        @Test
        fun `Given the maximum number of requests, when one more arrives, then it is refused as not run`() {
            repeat(settings.maxRequests) { accept(it + 1L) }

            expectThat(refusedWith(gate.receive(head(9)))?.code).isEqualTo(ResultCode.TARGET_FULL.number)
        }
    }

    @Nested
    inner class Cancellation {
        @Test
        fun `Given a cancel before its head, when the head arrives, then it never starts`() {
            gate.receive(Cancel(7))

            expectThat(gate.receive(head(7))).isA<GateDecision.Dropped>()
            expectThat(gate.beginForward(7)).isEqualTo(Err(ResultCode.CANCELLED))
        }

        @Test
        fun `Given a queued request, when cancelled, then it cannot be forwarded`() {
            accept(1)

            expectThat(gate.receive(Cancel(1))).isEqualTo(GateDecision.Cancelled(1, forwarded = false))
            expectThat(gate.beginForward(1)).isEqualTo(Err(ResultCode.CANCELLED))
        }

        @Test
        fun `Given a forwarded request, when cancelled, then the decision says so and its response is discarded`() {
            accept(1)
            gate.beginForward(1)

            expectThat(gate.receive(Cancel(1))).isEqualTo(GateDecision.Cancelled(1, forwarded = true))
            expectThat(gate.beginResponse(1, 200, emptyList())).isEmpty()
            expectThat(gate.refuse(1, ResultCode.TARGET_DIED)).isEmpty()
        }

        @Test
        fun `Given an answered request, when a late cancel arrives, then it changes nothing`() {
            accept(1)
            gate.beginForward(1)
            gate.beginResponse(1, 200, emptyList())
            gate.answerPiece(1, ByteArray(0), last = true)

            expectThat(gate.receive(Cancel(1))).isEqualTo(GateDecision.None)
        }

        @Test
        fun `Given requests in flight, when the connection closes, then those not yet forwarded cannot start`() {
            accept(1)
            accept(2)
            gate.beginForward(2)

            expectThat(gate.close()).containsExactlyInAnyOrder(
                GateDecision.Cancelled(1, forwarded = false),
                GateDecision.Cancelled(2, forwarded = true),
            )
            expectThat(gate.beginForward(1)).isEqualTo(Err(ResultCode.CANCELLED))
            expectThat(gate.receive(head(3))).isA<GateDecision.Dropped>()
        }
    }

    @Nested
    inner class RefusalOutcomes {
        @Test
        fun `Given a forwarded request, when refused with a code that says not run, then the outcome is unknown`() {
            accept(1)
            gate.beginForward(1)

            expectThat(gate.refuse(1, ResultCode.TARGET_DOWN))
                .single()
                .isA<Refusal>()
                .and { get { code }.isEqualTo(ResultCode.TARGET_DIED.number) }
                .and { get { outcome }.isEqualTo(Outcome.UNKNOWN) }
        }

        @Test
        fun `Given a forward of which no byte was sent, when refused, then it did not run`() {
            accept(1)
            gate.beginForward(1)
            gate.forwardUnsent(1)

            expectThat(gate.refuse(1, ResultCode.TARGET_DOWN))
                .single()
                .isA<Refusal>()
                .get { outcome }
                .isEqualTo(Outcome.NOT_RUN)
        }

        @Test
        fun `Given a forwarded request, when forwarded again, then it fails`() {
            accept(1)

            expectThat(gate.beginForward(1)).isEqualTo(Ok(Unit))
            expectThat(gate.beginForward(1)).isEqualTo(Err(ResultCode.CANCELLED))
        }

        @Test
        fun `Given a response that has begun, when it fails, then it is aborted and not refused`() {
            accept(1)
            gate.beginForward(1)
            gate.beginResponse(1, 200, emptyList())

            expectThat(gate.refuse(1, ResultCode.ANSWER_TRUNCATED))
                .isEqualTo(listOf(ResponseAbort(1, ResultCode.ANSWER_TRUNCATED.number)))
        }

        @Test
        fun `Given requests past their deadline, when ticked, then each gets its own outcome`() {
            accept(1)
            accept(2)
            gate.beginForward(2)
            clock.time += 5.seconds

            val expired = gate.tick().sortedBy { it.number }

            expectThat(expired).hasSize(2)
            expectThat(expired.flatMap { it.frames }.filterIsInstance<Refusal>().map { it.outcome })
                .isEqualTo(listOf(Outcome.NOT_RUN, Outcome.UNKNOWN))
            expectThat(gate.tick()).isEmpty()
        }
    }

    @Nested
    inner class Credit {
        @Test
        fun `Given a response over the window, when it is sent, then it waits until the entry grants credit`() {
            accept(1)

            expectThat(gate.acquireCredit(1, 1_500)).isEqualTo(1_000)
            expectThat(gate.acquireCredit(1, 1)).isEqualTo(0)
            expectThat(gate.receive(Window(1, 500))).isEqualTo(GateDecision.CreditGranted(1))
            expectThat(gate.acquireCredit(1, 1)).isEqualTo(1)
        }

        @Test
        fun `Given a body over the credit, when it arrives, then the connection closes`() {
            accept(1)
            gate.receive(BodyChunk(1, ByteArray(1_000), last = false))

            expectThat(gate.receive(BodyChunk(1, ByteArray(1), last = false)))
                .isA<GateDecision.CloseConnection>()
        }

        @Test
        fun `Given a body chunk after the last one, when it arrives, then the connection closes`() {
            accept(1)
            gate.receive(BodyChunk(1, ByteArray(1), last = true))

            expectThat(gate.receive(BodyChunk(1, ByteArray(1), last = true)))
                .isA<GateDecision.CloseConnection>()
        }

        @Test
        fun `Given a refused head, when chunks of its body follow, then they are dropped`() {
            expectThat(gate.receive(BodyChunk(5, ByteArray(1), last = true))).isEqualTo(GateDecision.None)
            expectThat(gate.acquireCredit(5, 1)).isNull()
        }
    }

    @Nested
    inner class GateTimestamps {
        @Test
        fun `Given an old gate timestamp, when a response begins, then a fresh one is sent with it`() {
            accept(1)
            accept(2)
            expectThat(gate.beginResponse(1, 200, emptyList())).hasSize(1)
            clock.time += settings.maxTimestampAge / 3

            expectThat(gate.beginResponse(2, 200, emptyList())).hasSize(2).first().isA<ResponseHead>()
        }
    }
}
