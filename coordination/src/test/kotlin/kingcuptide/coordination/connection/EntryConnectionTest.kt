package kingcuptide.coordination.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.unwrap
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isSameInstanceAs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class EntryConnectionTest {
    private val clock = FakeClock()
    private val settings = ConnectionSettings(maxRequests = 3, windowBytes = 1_000)
    private val entry = entryConnection(clock, settings).also { it.receive(GateTimestamp(5_000)) }

    private fun draft(deadline: Duration = clock.now() + 5.seconds) = HeadDraft(sampleHead, deadline)

    private fun openAndWrite(): Long {
        val number = entry.open().unwrap()
        expectThat(entry.headToWrite(number, draft())).isA<HeadDecision.Write>()
        return number
    }

    private fun responseHead(number: Long) =
        ResponseHead(number, status = 200, headers = emptyList(), load = sampleLoad)

    private fun chunk(
        number: Long,
        size: Int = 10,
        last: Boolean = false,
    ) = BodyChunk(number, ByteArray(size), last)

    @Nested
    inner class Heads {
        @Test
        fun `Given a gate timestamp, when a head is written later, then it has the estimate of the gate's clock`() {
            clock.time += 700.milliseconds
            val number = entry.open().unwrap()

            expectThat(entry.headToWrite(number, draft(clock.now() + 2.seconds)))
                .isA<HeadDecision.Write>()
                .get { head }
                .isEqualTo(sampleHead.copy(number = number, gateTimestampMs = 5_700, remainingMs = 2_000))
        }

        @Test
        fun `Given an expired gate timestamp, when a head is due, then a fresh one is requested once`() {
            clock.time += settings.maxTimestampAge + 1.milliseconds
            val number = entry.open().unwrap()

            expectThat(entry.headToWrite(number, draft())).isEqualTo(HeadDecision.AwaitTimestamp(GateTimestampRequest))
            expectThat(entry.headToWrite(number, draft())).isEqualTo(HeadDecision.AwaitTimestamp(null))
            expectThat(entry.receive(GateTimestamp(40_000))).isSameInstanceAs(EntryDecision.TimestampRenewed)
            expectThat(entry.headToWrite(number, draft())).isA<HeadDecision.Write>()
        }

        @Test
        fun `Given a written head, when it is requested again, then it is refused`() {
            val number = openAndWrite()

            expectThat(entry.headToWrite(number, draft())).isA<HeadDecision.Refused>()
        }

        @Test
        fun `Given a deadline that passed while the head waited, when it is due, then it is refused`() {
            val number = entry.open().unwrap()

            expectThat(entry.headToWrite(number, draft(clock.now())))
                .isEqualTo(HeadDecision.Refused(ResultCode.DEADLINE_PASSED))
        }

        @Test
        fun `Given the maximum number of requests, when one more opens, then it is refused`() {
            repeat(settings.maxRequests) { entry.open() }

            expectThat(entry.open()).isEqualTo(Err(ResultCode.ENTRY_FULL))
        }
    }

    @Nested
    inner class Responses {
        @Test
        fun `Given two requests, when their responses arrive in reverse order, then each gets its own`() {
            val first = openAndWrite()
            val second = openAndWrite()

            expectThat(entry.receive(responseHead(second)))
                .isEqualTo(EntryDecision.Answered(second, responseHead(second)))
            expectThat(entry.receive(responseHead(first))).isEqualTo(EntryDecision.Answered(first, responseHead(first)))
            expectThat(entry.receive(chunk(second, last = true)))
                .isEqualTo(EntryDecision.ResponseBodyChunk(second, ByteArray(10), last = true))
        }

        @Test
        fun `Given a completed response, when its frames arrive again, then they are dropped and counted`() {
            val number = openAndWrite()
            entry.receive(responseHead(number))
            entry.receive(chunk(number, last = true))

            for (frame in listOf(responseHead(number), chunk(number), ResponseAbort(number, 301))) {
                expectThat(entry.receive(frame)).isEqualTo(EntryDecision.Dropped(ResultCode.LATE_ANSWER_DROPPED))
            }
            expectThat(entry.counters().lateResponsesDropped).isEqualTo(3)
        }

        @Test
        fun `Given an abandoned request, when its response arrives late, then it is dropped`() {
            val number = openAndWrite()

            expectThat(entry.abandon(number)).isEqualTo(Abandoned(Cancel(number), Outcome.UNKNOWN))
            expectThat(entry.receive(responseHead(number))).isA<EntryDecision.Dropped>()
        }

        @Test
        fun `Given a number that was never used, when a response to it arrives, then it is dropped and counted`() {
            expectThat(entry.receive(responseHead(99))).isA<EntryDecision.Dropped>()
            expectThat(entry.counters().unknownResponsesDropped).isEqualTo(1)
        }

        @Test
        fun `Given a response that has begun, when the gate aborts it, then it fails with an unknown outcome`() {
            val number = openAndWrite()
            entry.receive(responseHead(number))
            entry.receive(chunk(number))

            expectThat(entry.receive(ResponseAbort(number, ResultCode.ANSWER_TRUNCATED.number)))
                .isA<EntryDecision.Failed>()
                .and { get { answerBegun }.isEqualTo(true) }
                .and { get { outcome }.isEqualTo(Outcome.UNKNOWN) }
        }

        @Test
        fun `Given a response that has begun, when the gate refuses as not run, then the outcome is unknown`() {
            val number = openAndWrite()
            entry.receive(responseHead(number))
            val refusal = Refusal(number, ResultCode.TARGET_FULL.number, Outcome.NOT_RUN, 0, sampleLoad)

            expectThat(entry.receive(refusal)).isA<EntryDecision.Failed>().get { outcome }.isEqualTo(Outcome.UNKNOWN)
        }
    }

    @Nested
    inner class ConnectionLoss {
        @Test
        fun `Given requests in each state, when the connection closes, then each gets the right outcome`() {
            val unwritten = entry.open().unwrap()
            val written = openAndWrite()
            val responding = openAndWrite()
            entry.receive(responseHead(responding))

            val failed = entry.close().map { Triple(it.number, it.code, it.outcome) }

            expectThat(failed).containsExactlyInAnyOrder(
                Triple(unwritten, ResultCode.PEER_UNREACHABLE.number, Outcome.NOT_RUN),
                Triple(written, ResultCode.ANSWER_LOST.number, Outcome.UNKNOWN),
                Triple(responding, ResultCode.ANSWER_TRUNCATED.number, Outcome.UNKNOWN),
            )
        }

        @Test
        fun `Given a closed connection, when a head is due, then it is refused as not run`() {
            val number = entry.open().unwrap()
            entry.close()

            expectThat(entry.headToWrite(number, draft()))
                .isEqualTo(HeadDecision.Refused(ResultCode.PEER_UNREACHABLE))
            expectThat(entry.open()).isEqualTo(Err(ResultCode.PEER_UNREACHABLE))
            expectThat(entry.close()).isEmpty()
        }

        @Test
        fun `Given an unwritten request, when it is abandoned, then it did not run and nothing is sent`() {
            val number = entry.open().unwrap()

            expectThat(entry.abandon(number)).isEqualTo(Abandoned(cancel = null, Outcome.NOT_RUN))
            expectThat(entry.abandon(number)).isNull()
        }
    }

    @Nested
    inner class Credit {
        @Test
        fun `Given a body over the window, when it is sent, then it waits until the gate grants credit`() {
            val number = openAndWrite()

            expectThat(entry.acquireCredit(number, 1_500)).isEqualTo(1_000)
            expectThat(entry.acquireCredit(number, 500)).isEqualTo(0)
            expectThat(entry.receive(Window(number, 600))).isEqualTo(EntryDecision.CreditGranted(number))
            expectThat(entry.acquireCredit(number, 500)).isEqualTo(500)
        }

        @Test
        fun `Given unused credit, when the gate grants more than the window, then the connection closes`() {
            val number = openAndWrite()

            expectThat(entry.receive(Window(number, 1))).isA<EntryDecision.CloseConnection>()
        }

        @Test
        fun `Given a response over the credit, when it arrives, then the connection closes`() {
            val number = openAndWrite()
            entry.receive(responseHead(number))
            entry.receive(chunk(number, size = 1_000))

            expectThat(entry.receive(chunk(number, size = 1))).isA<EntryDecision.CloseConnection>()
        }

        @Test
        fun `Given a response that is consumed, when half the window is free, then credit is granted`() {
            val number = openAndWrite()
            entry.receive(responseHead(number))
            entry.receive(chunk(number, size = 1_000))

            expectThat(entry.consumed(number, 400)).isNull()
            expectThat(entry.consumed(number, 200)).isEqualTo(Window(number, 600))
            expectThat(entry.receive(chunk(number, size = 600))).isA<EntryDecision.ResponseBodyChunk>()
        }

        @Test
        fun `Given a request that has ended, when credit is acquired, then the result is null`() {
            val number = openAndWrite()
            entry.abandon(number)

            expectThat(entry.acquireCredit(number, 1)).isNull()
        }
    }

    @Nested
    inner class Protocol {
        @Test
        fun `Given a frame that only an entry sends, when it arrives, then the connection closes`() {
            for (frame in listOf(sampleHead, Cancel(1), GateTimestampRequest)) {
                expectThat(entry.receive(frame)).isA<EntryDecision.CloseConnection>()
            }
            val hello = Hello(PROTOCOL_VERSION, HostId("h"), Incarnation(1))
            expectThat(entry.receive(hello)).isSameInstanceAs(EntryDecision.None)
        }
    }
}
