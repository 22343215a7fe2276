package kingcuptide.coordination.request

import kotlin.random.Random

/** What the connection of a [PipelineHistory] does wrong. */
internal enum class PipelineFault {
    NONE,
    UNSAFE_STARTS_EARLY,
    CLOSE_OF_REQUEST_OVERLOOKED,
    CLOSE_IN_THE_MIDDLE,
    RESPONSE_OF_ANOTHER,
    START_FORGOTTEN,
    STOP_OVERLOOKED,
    DISCONNECT_OVERLOOKED,
    NO_BOUNDS,
}

/** A random history of one connection around a [CallerPipeline]; [violations] lists the broken rules. */
internal class PipelineHistory(private val random: Random, private val fault: PipelineFault) {
    private class Request(
        val number: Int,
        val idempotent: Boolean,
        val asksClose: Boolean,
        var refused: Boolean,
        val bytes: Long,
    ) {
        var id: Long? = null
        var started = false
        var response: String? = null
    }

    private val limits = PipelineLimits()
    private val pipeline =
        CallerPipeline<String>(if (fault == PipelineFault.NO_BOUNDS) PipelineLimits(99, MIB, MIB * 99) else limits)
    private val sent = ArrayList<Request>()
    private val unread = ArrayDeque<Request>()
    private val byId = HashMap<Long, Request>()
    private val running = ArrayList<Request>()
    private var writtenCount = 0
    private var closedBy: Request? = null
    private var isWritable = true
    private var isStopping = false
    private var isEnded = false
    private var isCloseAsked = false
    private var isDisconnected = false

    val violations = ArrayList<String>()
    var earlyStarts = 0
        private set
    val closes: Boolean get() = closedBy != null

    fun step() {
        when (random.nextInt(STEP_KINDS)) {
            in 0..34 -> send()
            in 35..69 -> running.randomOrNull(random)?.let { finish(it) }
            in 70..79 -> duplicate()
            in 80..89 -> isWritable = !isWritable
            90 -> if (random.nextInt(4) == 0) stop()
            91 -> if (isStopping) end()
            92 -> if (random.nextInt(8) == 0) disconnect()
            else -> Unit
        }
        pump()
    }

    /** Lets all that runs finish and checks that nothing is left waiting. */
    fun finishAll() {
        isWritable = true
        pump()
        while (running.isNotEmpty()) {
            finish(running.random(random))
            pump()
        }
        val isOpen = !isDisconnected && closedBy == null
        val isWaiting = unread.isNotEmpty() || sent.any { it.response == null }
        if (isOpen && isWaiting) violations += "a request waits for ever"
        if (pipeline.heldBytes != 0L) violations += "${pipeline.heldBytes} held bytes at the end"
    }

    private fun send() {
        if (isDisconnected) return
        val bytes = if (random.nextInt(12) == 0) random.nextLong(300_000) else 200L
        val request =
            Request(sent.size, random.nextInt(4) > 0, random.nextInt(40) == 0, random.nextInt(15) == 0, bytes)
        sent += request
        unread.addLast(request)
    }

    private fun finish(request: Request) {
        val bytes = if (random.nextInt(4) == 0) random.nextLong(MIB) else 500L
        val isSwapped = fault == PipelineFault.RESPONSE_OF_ANOTHER && random.nextInt(10) == 0
        val receiver = if (isSwapped) running.random(random) else request
        running -= receiver
        deliver(receiver.id!!, "response ${request.number}", bytes)
    }

    /** Delivers a response to a request that has one, has none because it has not started, or was cancelled. */
    private fun duplicate() {
        val request = byId.values.randomOrNull(random)?.takeIf { it !in running } ?: return
        deliver(request.id!!, "duplicate", 1)
    }

    private fun deliver(id: Long, response: String, bytes: Long) {
        val asksClose = random.nextInt(100) == 0
        if (pipeline.finished(id, SizedResponse(response, bytes), asksClose) && asksClose) isCloseAsked = true
    }

    private fun stop() {
        isStopping = true
        if (fault != PipelineFault.STOP_OVERLOOKED) pipeline.stop()
    }

    private fun end() {
        if (isEnded) return
        isEnded = true
        if (pipeline.isEmpty) return disconnect()
        pipeline.end(SizedResponse("lost", 0)) { SizedResponse("refused", 0) }.forEach { id ->
            val request = byId.getValue(id)
            if (request.started) running -= request else request.refused = true
        }
    }

    private fun disconnect() {
        isDisconnected = true
        val isOverlooked = fault == PipelineFault.DISCONNECT_OVERLOOKED
        if (!isOverlooked && pipeline.cancel().size != running.size) violations += "not cancelled"
        running.clear()
    }

    private fun pump() {
        do {
            var isBusy = read()
            if (isWritable || isEnded) isBusy = write() || isBusy
            if (fault != PipelineFault.START_FORGOTTEN || random.nextInt(10) > 0) isBusy = start() || isBusy
        } while (isBusy)
    }

    private fun read(): Boolean {
        val request = unread.firstOrNull() ?: return false
        if (!pipeline.acceptsMore) return unread.clear().let { false }
        if (!pipeline.mayRead(request.bytes)) return false
        unread.removeFirst()
        val asksClose = request.asksClose && fault != PipelineFault.CLOSE_OF_REQUEST_OVERLOOKED
        val refusal = when {
            request.refused -> SizedResponse("response ${request.number}", 100)
            isEnded -> SizedResponse("refused", 0).also { request.refused = true }
            else -> null
        }
        request.id = pipeline.arrived(request.bytes, asksClose, refusal).also { byId[it] = request }
        val waiting = byId.values.filter { it.response == null }
        val bytes = waiting.filter { it in running || !it.started && !it.refused }.sumOf { it.bytes }
        if (waiting.size > 1 && (waiting.size > limits.maxRequests || bytes > limits.maxRequestBytes)) {
            violations += "beyond the bounds: ${waiting.size} requests, $bytes bytes"
        }
        return true
    }

    private fun start(): Boolean {
        val held = pipeline.heldBytes
        val start =
            pipeline.startNext { fault == PipelineFault.UNSAFE_STARTS_EARLY || byId.getValue(it).idempotent }
                ?: return false
        val request = byId.getValue(start.id)
        val isEarly = writtenCount < request.number
        if (isEarly) earlyStarts++
        when {
            request.started -> violations += "starts twice"
            isDisconnected || isEnded -> violations += "starts after the end"
            closedBy != null -> violations += "starts behind the response that closed"
            isCloseAsked -> violations += "starts after a response that asks for close"
            isEarly != start.isEarly -> violations += "early=${start.isEarly} is wrong"
            isEarly && !request.idempotent -> violations += "non-idempotent request starts early"
            isEarly && isStopping -> violations += "early start while stopping"
            isEarly && held >= limits.maxHeldBytes -> violations += "early start with $held held bytes"
            sent.take(request.number).any { it.asksClose } -> violations += "starts behind one that asks for close"
        }
        request.started = true
        running += request
        return true
    }

    private fun write(): Boolean {
        val write = pipeline.writeNext(unread.isNotEmpty()) ?: return false
        val request = byId.getValue(write.id)
        if (request.number != writtenCount++) violations += "response ${request.number} out of order"
        val expected = if (request.started) "lost" else "refused"
        if (write.response != "response ${request.number}" && (write.response != expected || !isEnded)) {
            violations += "request ${request.number} gets ${write.response}"
        }
        if (isDisconnected || closedBy != null) violations += "a response after the end"
        request.response = write.response
        val isOverlooked = fault == PipelineFault.CLOSE_OF_REQUEST_OVERLOOKED && request.asksClose
        val isInTheMiddle = fault == PipelineFault.CLOSE_IN_THE_MIDDLE && random.nextInt(20) == 0
        if (request.asksClose && !write.closes && !isOverlooked) violations += "asked close is not done"
        if (!write.closes && !isOverlooked && !isInTheMiddle) return true
        closedBy = request
        val isLeftOut = byId.size > writtenCount || unread.isNotEmpty()
        if (isLeftOut && !isCloseAsked && !request.asksClose) violations += "closes before others in a stop"
        if (sent.drop(writtenCount).any { it.started }) violations += "a request behind the close has started"
        return true
    }

    private companion object {
        const val STEP_KINDS = 100
        const val MIB = 1024L * 1024
    }
}
