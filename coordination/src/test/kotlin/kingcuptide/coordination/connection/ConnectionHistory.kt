package kingcuptide.coordination.connection

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Outcome
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One random history of one connection: both ends, frames under way in order, freezes, cancels and a cut. */
internal class ConnectionHistory(
    private val random: Random,
) {
    private val clock = FakeClock()
    private val settings = ConnectionSettings(maxRequests = 8, windowBytes = 300)
    private val entry = entryConnection(clock, settings)
    private val gate = gateConnection(clock, settings) { sampleLoad }
    private val toGate = ArrayDeque<RequestFrame>()
    private val toEntry = ArrayDeque<RequestFrame>()
    private val waiting = mutableListOf<Long>()
    private val accepted = mutableListOf<Long>()
    private val running = mutableListOf<Long>()
    private var entryClosed = false
    val requests = mutableMapOf<Long, TrackedRequest>()

    init {
        toGate += Hello(PROTOCOL_VERSION, HostId("entry"), Incarnation(1))
    }

    fun step() {
        when (random.nextInt(100)) {
            in 0..11 -> open()
            in 12..24 -> writeHead()
            in 25..47 -> deliverToGate()
            in 48..62 -> deliverToEntry()
            in 63..73 -> forward()
            in 74..87 -> answer()
            in 88..89 -> abandon()
            in 90..91 -> gate.tick().forEach { toEntry += it.frames }
            in 92..97 -> clock.time += listOf(10.milliseconds, 200.milliseconds, 900.milliseconds).random(random)
            98 -> clock.time += listOf(2.seconds, 6.seconds, 60.seconds).random(random)
            else -> if (random.nextInt(4) == 0) cut()
        }
    }

    private fun open() {
        entry.open().onSuccess { number ->
            waiting += number
            requests[number] = TrackedRequest(clock.now() + 5.seconds, answerBytes = random.nextInt(0, 900))
        }
    }

    private fun writeHead() {
        val number = waiting.randomOrNull(random) ?: return
        val request = requests.getValue(number)
        when (val decision = entry.headToWrite(number, HeadDraft(sampleHead.copy(hasBody = false), request.deadline))) {
            is HeadDecision.Write -> toGate += decision.head
            is HeadDecision.AwaitTimestamp -> decision.request?.let { toGate += it }
            is HeadDecision.Refused -> request.end(EntryEnd.NOT_RUN)
        }
        if (request.end != null || toGate.lastOrNull() is RequestHead) {
            waiting -= number
        }
    }

    private fun deliverToGate() {
        val frame = toGate.removeFirstOrNull() ?: return
        if (frame is RequestHead && random.nextInt(10) == 0) {
            toGate.addFirst(frame)
        }
        when (val decision = gate.receive(frame)) {
            is GateDecision.Established -> toEntry += decision.gateTimestamp
            is GateDecision.Write -> toEntry += decision.frames
            is GateDecision.Accepted -> accepted += decision.head.number
            is GateDecision.CloseConnection -> error("gate closed on $frame")
            else -> Unit
        }
    }

    private fun deliverToEntry() {
        if (entryClosed) {
            return
        }
        val frame = toEntry.removeFirstOrNull() ?: return
        when (val decision = entry.receive(frame)) {
            is EntryDecision.ResponseBodyChunk -> answerPiece(decision)
            is EntryDecision.Failed -> failed(decision)
            is EntryDecision.CloseConnection -> error("entry closed on $frame")
            else -> Unit
        }
    }

    private fun answerPiece(piece: EntryDecision.ResponseBodyChunk) {
        val request = requests.getValue(piece.number)
        check(piece.bytes.all { it == piece.number.toByte() }) { "a piece of another answer" }
        request.receivedBytes += piece.bytes.size
        if (piece.last) {
            check(request.receivedBytes == request.answerBytes) { "a truncated answer passed off as whole" }
            request.end(EntryEnd.WHOLE)
        }
        entry.consumed(piece.number, piece.bytes.size)?.let { toGate += it }
    }

    private fun failed(failed: EntryDecision.Failed) {
        requests.getValue(failed.number).end(endOf(failed.outcome))
    }

    private fun endOf(outcome: Outcome) = if (outcome == Outcome.NOT_RUN) EntryEnd.NOT_RUN else EntryEnd.UNKNOWN

    private fun forward() {
        val number = accepted.randomOrNull(random) ?: return
        accepted -= number
        gate.beginForward(number)
            .onSuccess { forwarded(number) }
            .onFailure { toEntry += gate.refuse(number, it) }
    }

    private fun forwarded(number: Long) {
        if (random.nextInt(8) == 0) {
            gate.forwardUnsent(number)
            toEntry += gate.refuse(number, ResultCode.TARGET_DOWN)
            return
        }
        requests.getValue(number).forwards++
        running += number
    }

    private fun answer() {
        val number = running.randomOrNull(random) ?: return
        val request = requests.getValue(number)
        if (random.nextInt(12) == 0) {
            toEntry += gate.refuse(number, listOf(ResultCode.TARGET_DIED, ResultCode.TARGET_FULL).random(random))
            running -= number
            return
        }
        toEntry += gate.beginResponse(number, 200, emptyList())
        val granted = gate.acquireCredit(number, request.answerBytes - request.sentBytes) ?: return
        request.sentBytes += granted
        val last = request.sentBytes == request.answerBytes
        val piece = gate.answerPiece(number, ByteArray(granted) { number.toByte() }, last)
        piece?.let { toEntry += it }
        if (last) {
            running -= number
        }
    }

    private fun abandon() {
        val number = requests.keys.randomOrNull(random) ?: return
        val abandoned = entry.abandon(number) ?: return
        requests.getValue(number).end(endOf(abandoned.outcome))
        waiting -= number
        abandoned.cancel?.let { toGate += it }
    }

    /** The entry notices the loss at once; the gate goes on with what had arrived, and notices later. */
    private fun cut() {
        if (entryClosed) {
            gate.close()
            return
        }
        entryClosed = true
        entry.close().forEach(::failed)
        waiting.clear()
        toEntry.clear()
    }
}

/** How a request ended for the entry's caller. */
internal enum class EntryEnd {
    WHOLE,
    NOT_RUN,
    UNKNOWN,
}

/** What the history knows of one request at both ends. */
internal class TrackedRequest(
    val deadline: Duration,
    val answerBytes: Int,
) {
    var forwards = 0
    var sentBytes = 0
    var receivedBytes = 0
    var end: EntryEnd? = null
        private set

    fun end(how: EntryEnd) {
        check(end == null) { "a request ended twice" }
        end = how
    }
}
