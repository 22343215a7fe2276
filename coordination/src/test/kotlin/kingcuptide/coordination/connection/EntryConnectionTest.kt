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

    private fun answerHead(number: Long) = ResponseHead(number, status = 200, headers = emptyList(), load = sampleLoad)

    private fun piece(
        number: Long,
        size: Int = 10,
        last: Boolean = false,
    ) = BodyChunk(number, ByteArray(size), last)

    @Nested
    inner class Heads {
        @Test
        fun `Given a stamp, when a head is written later, then it carries the estimate of the gate's clock`() {
            clock.time += 700.milliseconds
            val number = entry.open().unwrap()

            expectThat(entry.headToWrite(number, draft(clock.now() + 2.seconds)))
                .isA<HeadDecision.Write>()
                .get { head }
                .isEqualTo(sampleHead.copy(number = number, gateTimestampMs = 5_700, remainingMs = 2_000))
        }

        @Test
        fun `Given a stamp beyond its age, when a head is due, then a fresh stamp is asked for once`() {
            clock.time += settings.maxStampAge + 1.milliseconds
            val number = entry.open().unwrap()

            expectThat(entry.headToWrite(number, draft())).isEqualTo(HeadDecision.AwaitTimestamp(GateTimestampRequest))
            expectThat(entry.headToWrite(number, draft())).isEqualTo(HeadDecision.AwaitTimestamp(null))
            expectThat(entry.receive(GateTimestamp(40_000))).isSameInstanceAs(EntryDecision.TimestampRenewed)
            expectThat(entry.headToWrite(number, draft())).isA<HeadDecision.Write>()
        }

        @Test
        fun `Given a written head, when asked again, then it is not written twice`() {
            val number = openAndWrite()

            expectThat(entry.headToWrite(number, draft())).isA<HeadDecision.Refused>()
        }

        @Test
        fun `Given a deadline that passed while it waited, when the head is due, then it is refused`() {
            val number = entry.open().unwrap()

            expectThat(entry.headToWrite(number, draft(clock.now())))
                .isEqualTo(HeadDecision.Refused(ResultCode.DEADLINE_PASSED))
        }

        @Test
        fun `Given as many requests as allowed, when one more opens, then it is refused`() {
            repeat(settings.maxRequests) { entry.open() }

            expectThat(entry.open()).isEqualTo(Err(ResultCode.ENTRY_FULL))
        }
    }

    @Nested
    inner class Answers {
        @Test
        fun `Given two requests, when their answers cross, then each gets its own`() {
            val first = openAndWrite()
            val second = openAndWrite()

            expectThat(entry.receive(answerHead(second)))
                .isEqualTo(EntryDecision.Answered(second, answerHead(second)))
            expectThat(entry.receive(answerHead(first))).isEqualTo(EntryDecision.Answered(first, answerHead(first)))
            expectThat(entry.receive(piece(second, last = true)))
                .isEqualTo(EntryDecision.ResponseBodyChunk(second, ByteArray(10), last = true))
        }

        @Test
        fun `Given an answered request, when the answer comes again, then it is dropped and counted`() {
            val number = openAndWrite()
            entry.receive(answerHead(number))
            entry.receive(piece(number, last = true))

            for (frame in listOf(answerHead(number), piece(number), ResponseAbort(number, 301))) {
                expectThat(entry.receive(frame)).isEqualTo(EntryDecision.Dropped(ResultCode.LATE_ANSWER_DROPPED))
            }
            expectThat(entry.counters().lateAnswersDropped).isEqualTo(3)
        }

        @Test
        fun `Given an abandoned request, when its answer comes late, then it is dropped`() {
            val number = openAndWrite()

            expectThat(entry.abandon(number)).isEqualTo(Abandoned(Cancel(number), Outcome.UNKNOWN))
            expectThat(entry.receive(answerHead(number))).isA<EntryDecision.Dropped>()
        }

        @Test
        fun `Given a number that was never used, when an answer comes for it, then it is dropped and counted`() {
            expectThat(entry.receive(answerHead(99))).isA<EntryDecision.Dropped>()
            expectThat(entry.counters().unknownAnswersDropped).isEqualTo(1)
        }

        @Test
        fun `Given an answer that breaks off, when the gate says so, then it has failed and is not whole`() {
            val number = openAndWrite()
            entry.receive(answerHead(number))
            entry.receive(piece(number))

            expectThat(entry.receive(ResponseAbort(number, ResultCode.ANSWER_TRUNCATED.number)))
                .isA<EntryDecision.Failed>()
                .and { get { answerBegun }.isEqualTo(true) }
                .and { get { outcome }.isEqualTo(Outcome.UNKNOWN) }
        }

        @Test
        fun `Given an answer that began, when the gate denies the run, then the outcome is unknown`() {
            val number = openAndWrite()
            entry.receive(answerHead(number))
            val refusal = Refusal(number, ResultCode.TARGET_FULL.number, Outcome.NOT_RUN, 0, sampleLoad)

            expectThat(entry.receive(refusal)).isA<EntryDecision.Failed>().get { outcome }.isEqualTo(Outcome.UNKNOWN)
        }
    }

    @Nested
    inner class ConnectionLoss {
        @Test
        fun `Given requests at each step, when the connection is lost, then each outcome is true`() {
            val unwritten = entry.open().unwrap()
            val written = openAndWrite()
            val answering = openAndWrite()
            entry.receive(answerHead(answering))

            val lost = entry.close().map { Triple(it.number, it.code, it.outcome) }

            expectThat(lost).containsExactlyInAnyOrder(
                Triple(unwritten, ResultCode.PEER_UNREACHABLE.number, Outcome.NOT_RUN),
                Triple(written, ResultCode.ANSWER_LOST.number, Outcome.UNKNOWN),
                Triple(answering, ResultCode.ANSWER_TRUNCATED.number, Outcome.UNKNOWN),
            )
        }

        @Test
        fun `Given a lost connection, when a head is due, then it is refused as not run`() {
            val number = entry.open().unwrap()
            entry.close()

            expectThat(entry.headToWrite(number, draft()))
                .isEqualTo(HeadDecision.Refused(ResultCode.PEER_UNREACHABLE))
            expectThat(entry.open()).isEqualTo(Err(ResultCode.PEER_UNREACHABLE))
            expectThat(entry.close()).isEmpty()
        }

        @Test
        fun `Given an unwritten request, when abandoned, then it did not run and nothing is sent`() {
            val number = entry.open().unwrap()

            expectThat(entry.abandon(number)).isEqualTo(Abandoned(cancel = null, Outcome.NOT_RUN))
            expectThat(entry.abandon(number)).isNull()
        }
    }

    @Nested
    inner class Credit {
        @Test
        fun `Given a body over the window, when sent, then it waits until the gate allows more`() {
            val number = openAndWrite()

            expectThat(entry.acquireCredit(number, 1_500)).isEqualTo(1_000)
            expectThat(entry.acquireCredit(number, 500)).isEqualTo(0)
            expectThat(entry.receive(Window(number, 600))).isEqualTo(EntryDecision.CreditGranted(number))
            expectThat(entry.acquireCredit(number, 500)).isEqualTo(500)
        }

        @Test
        fun `Given a window that the sender never used, when allowed twice, then the connection closes`() {
            val number = openAndWrite()

            expectThat(entry.receive(Window(number, 1))).isA<EntryDecision.CloseConnection>()
        }

        @Test
        fun `Given an answer over the credit, when it arrives, then the connection closes`() {
            val number = openAndWrite()
            entry.receive(answerHead(number))
            entry.receive(piece(number, size = 1_000))

            expectThat(entry.receive(piece(number, size = 1))).isA<EntryDecision.CloseConnection>()
        }

        @Test
        fun `Given an answer that is passed on, when half the window is free, then more is allowed`() {
            val number = openAndWrite()
            entry.receive(answerHead(number))
            entry.receive(piece(number, size = 1_000))

            expectThat(entry.consumed(number, 400)).isNull()
            expectThat(entry.consumed(number, 200)).isEqualTo(Window(number, 600))
            expectThat(entry.receive(piece(number, size = 600))).isA<EntryDecision.ResponseBodyChunk>()
        }

        @Test
        fun `Given a request that is over, when credit is taken, then there is none to wait for`() {
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
