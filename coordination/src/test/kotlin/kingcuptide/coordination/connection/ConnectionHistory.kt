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

/** One random history of a connection: both ends, ordered frames in transit, pauses, cancels and a disconnect. */
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
            in 74..87 -> respond()
            in 88..89 -> abandon()
            in 90..91 -> gate.tick().forEach { toEntry += it.frames }
            in 92..97 -> clock.time += listOf(10.milliseconds, 200.milliseconds, 900.milliseconds).random(random)
            98 -> clock.time += listOf(2.seconds, 6.seconds, 60.seconds).random(random)
            else -> if (random.nextInt(4) == 0) disconnect()
        }
    }

    private fun open() {
        entry.open().onSuccess { number ->
            waiting += number
            requests[number] = TrackedRequest(clock.now() + 5.seconds, responseBytes = random.nextInt(0, 900))
        }
    }

    private fun writeHead() {
        val number = waiting.randomOrNull(random) ?: return
        val request = requests.getValue(number)
        when (val decision = entry.headToWrite(number, HeadDraft(sampleHead.copy(hasBody = false), request.deadline))) {
            is HeadDecision.Write -> toGate += decision.head
            is HeadDecision.AwaitTimestamp -> decision.request?.let { toGate += it }
            is HeadDecision.Refused -> request.end(EntryResult.NOT_RUN)
        }
        if (request.result != null || toGate.lastOrNull() is RequestHead) {
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
            is EntryDecision.ResponseBodyChunk -> receiveResponseBodyChunk(decision)
            is EntryDecision.Failed -> failed(decision)
            is EntryDecision.CloseConnection -> error("entry closed on $frame")
            else -> Unit
        }
    }

    private fun receiveResponseBodyChunk(chunk: EntryDecision.ResponseBodyChunk) {
        val request = requests.getValue(chunk.number)
        check(chunk.bytes.all { it == chunk.number.toByte() }) { "received a chunk of the response to another request" }
        request.receivedBytes += chunk.bytes.size
        if (chunk.last) {
            check(request.receivedBytes == request.responseBytes) { "a truncated response was reported as complete" }
            request.end(EntryResult.COMPLETE)
        }
        entry.consumed(chunk.number, chunk.bytes.size)?.let { toGate += it }
    }

    private fun failed(failed: EntryDecision.Failed) {
        requests.getValue(failed.number).end(resultOf(failed.outcome))
    }

    private fun resultOf(outcome: Outcome) =
        if (outcome == Outcome.NOT_RUN) EntryResult.NOT_RUN else EntryResult.UNKNOWN

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

    private fun respond() {
        val number = running.randomOrNull(random) ?: return
        val request = requests.getValue(number)
        if (random.nextInt(12) == 0) {
            toEntry += gate.refuse(number, listOf(ResultCode.TARGET_DIED, ResultCode.TARGET_FULL).random(random))
            running -= number
            return
        }
        toEntry += gate.beginResponse(number, 200, emptyList())
        val granted = gate.acquireCredit(number, request.responseBytes - request.sentBytes) ?: return
        request.sentBytes += granted
        val last = request.sentBytes == request.responseBytes
        val chunk = gate.answerPiece(number, ByteArray(granted) { number.toByte() }, last)
        chunk?.let { toEntry += it }
        if (last) {
            running -= number
        }
    }

    private fun abandon() {
        val number = requests.keys.randomOrNull(random) ?: return
        val abandoned = entry.abandon(number) ?: return
        requests.getValue(number).end(resultOf(abandoned.outcome))
        waiting -= number
        abandoned.cancel?.let { toGate += it }
    }

    /** Disconnects the entry at once; the gate still handles the frames in transit and closes at the next call. */
    private fun disconnect() {
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

/** Result of a request for the entry's caller. */
internal enum class EntryResult {
    COMPLETE,
    NOT_RUN,
    UNKNOWN,
}

/** State of one request as observed at both ends. */
internal class TrackedRequest(
    val deadline: Duration,
    val responseBytes: Int,
) {
    var forwards = 0
    var sentBytes = 0
    var receivedBytes = 0
    var result: EntryResult? = null
        private set

    fun end(result: EntryResult) {
        check(this.result == null) { "the request ended twice" }
        this.result = result
    }
}
