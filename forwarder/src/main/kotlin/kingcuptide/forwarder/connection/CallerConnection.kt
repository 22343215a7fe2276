package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.CallerPipeline
import kingcuptide.coordination.request.SizedResponse
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.forwarder.process.StartQueue
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlin.time.Duration

/**
 * One connection of a caller: reads its requests, serves them as [CallerPipeline] decides, and cancels them when it closes.
 *
 * @param isIdempotent whether a request may start before those before it have their responses
 * @param starts delays the start of a request until the end of its connection, if that has arrived, is read
 */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val limits: CallerLimits,
    private val buffers: BufferLimit,
    private val serve: suspend (CallerRequest) -> BufferedResponse,
    refuseByHead: (CallerRequest) -> BufferedResponse? = { null },
    private val isIdempotent: (CallerRequest) -> Boolean = { false },
    private val counts: PipelineCounts = PipelineCounts(),
    private val starts: StartQueue,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var writer: CallerWriter
    private lateinit var context: ChannelHandlerContext
    private val pipeline = CallerPipeline<BufferedResponse>()
    private val assembler = RequestAssembler(limits, buffers, refuseByHead)

    /** Requests without a response, by their ids in [pipeline]. */
    private val requests = HashMap<Long, ArrivedRequest>()

    /** Parts that the bounds of [pipeline] do not let in yet. Nothing is read from the socket while there are any. */
    private val unread = ArrayDeque<UnreadPart>()
    private var isPumping = false
    private var isStartQueued = false
    private var headStartedAt: Duration? = null
    private var requestBytes = 0L
    private var droppedBytes = 0L
    private var lastProgressAt = clock.now()

    /** Whether the connection closes after the responses to the requests that have arrived. */
    var closesAfterResponse = false
        set(value) {
            field = value
            if (value) pipeline.stop()
        }

    /** Whether a request waits for its response. */
    val isServing: Boolean get() = runningCount > 0

    /** Number of requests that run. */
    val runningCount: Int get() = pipeline.runningCount

    /** Bytes of responses that wait for their turn. */
    val heldBytes: Long get() = pipeline.heldBytes

    /** Records bytes and when they arrive, before they are decoded: the decoder skips some, and never ends others. */
    val activityHandler =
        object : ChannelInboundHandlerAdapter() {
            override fun isSharable(): Boolean = false

            override fun channelRead(context: ChannelHandlerContext, message: Any) {
                if (writer.isClosing) return writer.discard(message)
                if (!pipeline.acceptsMore) return drop(message)
                lastProgressAt = clock.now()
                val isIdle = !assembler.isReceiving && pipeline.isEmpty && unread.isEmpty()
                if (isIdle && headStartedAt == null) headStartedAt = lastProgressAt
                if (message is ByteBuf) requestBytes += message.readableBytes()
                context.fireChannelRead(message)
                if (unread.isEmpty()) checkLength()
            }
        }

    override fun isSharable(): Boolean = false

    fun close() {
        cancelAll()
        context.close()
    }

    /**
     * Ends the requests that run at once with [ResultCode.ANSWER_LOST], as their outcome is unknown. Those that have not
     * started get no response: they are behind the last one.
     */
    fun abortRequest() {
        if (!isServing) return
        pipeline.end(sized(LOST)).forEach { release(it)?.cancel() }
        pump(ignoresWritability = true)
    }

    /** Refuses a request that has begun to arrive, since the daemon stops, or closes the connection if there is none. */
    fun endAtStop() {
        if (isServing || writer.isClosing) return
        if (!pipeline.isEmpty) return abandonUnread()
        if (!assembler.isReceiving && headStartedAt == null) return writer.closeAfterWrites()
        refuse(ResultCode.DRAINING.httpStatus, "request incomplete at the end of a stop")
        pump(ignoresWritability = true)
    }

    /** Writes the responses that are ready although the caller reads slowly, the last of which closes. */
    private fun abandonUnread() {
        pipeline.end(sized(LOST))
        pump(ignoresWritability = true)
        if (!writer.isClosing) writer.closeAfterWrites()
    }

    /** Ends the connection if its caller exceeds one of [limits]. */
    fun checkTimeouts(limits: CallerLimits) {
        val now = clock.now()
        if (writer.closingFor() > limits.idleTimeout) close()
        if (isServing || writer.isClosing) return
        val headStarted = headStartedAt
        val sinceProgress = now - lastProgressAt
        when {
            // The caller does not read its responses.
            !pipeline.isEmpty -> if (sinceProgress > limits.idleTimeout) close()
            headStarted != null && now - headStarted > limits.headTimeout ->
                refuse(REQUEST_TIMEOUT, "request head timed out")
            assembler.isReceiving &&
                (sinceProgress > limits.headTimeout || assembler.isBodyTooSlow(now, limits.idleTimeout)) ->
                refuse(REQUEST_TIMEOUT, "request body timed out")
            headStarted == null && !assembler.isReceiving && sinceProgress > limits.idleTimeout -> close()
        }
    }

    /** Bounds the bytes of a request on the wire, of which chunk extensions and empty lines are no part of it. */
    private fun checkLength() {
        if (!pipeline.acceptsMore) return
        val isInBody = assembler.isReceiving
        val maxBodyBytes = if (isInBody) minOf(limits.maxBodyBytes, Int.MAX_VALUE.toLong()) else 0
        val maxBytes = limits.maxHeadBytes * HEADS_PER_REQUEST + maxBodyBytes * FRAMING_FACTOR
        if (requestBytes <= maxBytes) return
        val code = if (isInBody) ResultCode.BODY_TOO_LARGE else ResultCode.HEADERS_TOO_LARGE
        refuse(code.httpStatus, "$requestBytes bytes without the end of a request")
    }

    /** Drops what is sent behind a request that asks for close, whose response has not been written. */
    private fun drop(message: Any) {
        if (message is ByteBuf) droppedBytes += message.readableBytes()
        ReferenceCountUtil.release(message)
        writer.setReading(isReading())
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        writer = CallerWriter(context, clock, ::close)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || !pipeline.acceptsMore) {
            ReferenceCountUtil.release(message)
            return
        }
        unread.addLast(UnreadPart(message, clock.now()))
        pump()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) = pump()

    override fun channelInactive(context: ChannelHandlerContext) {
        cancelAll()
        onClosed(this)
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        log.debug("caller_failed", "reason" to cause)
        close()
    }

    private fun cancelAll() {
        pipeline.cancel()
        releaseAll()
    }

    /** Cancels and forgets all that has no response. */
    private fun releaseAll() {
        requests.keys.toList().forEach { release(it)?.cancel() }
        releaseUnread()
    }

    /** Forgets the request [id] and returns its job if it has been started. */
    private fun release(id: Long): Job? {
        val request = requests.remove(id) ?: return null
        buffers.release(request.reservedBytes)
        return request.job
    }

    /**
     * Reads, writes and, if [isTurnToStart], starts what [pipeline] lets. It is a loop, since a recursion for each request
     * that is answered at once would be as deep as their number.
     */
    private fun pump(ignoresWritability: Boolean = false, isTurnToStart: Boolean = false) {
        if (isPumping) return
        isPumping = true
        try {
            do {
                val isBusy = takePart() or (isTurnToStart && startNext()) or writeNext(ignoresWritability)
            } while (isBusy)
        } finally {
            isPumping = false
        }
        writer.setReading(isReading())
        queueStart()
    }

    private fun queueStart() {
        if (isStartQueued || !pipeline.canStartNext(::isIdempotent)) return
        isStartQueued = true
        starts.add(::startQueued)
    }

    /** A channel is closed some time before [channelInactive]. */
    private fun startQueued() {
        isStartQueued = false
        if (context.channel().isActive) pump(isTurnToStart = true)
    }

    private fun isIdempotent(id: Long): Boolean = isIdempotent(requests.getValue(id).request)

    private fun isReading(): Boolean =
        writer.isClosing || (unread.isEmpty() && droppedBytes <= MAX_DROPPED_BYTES)

    private fun takePart(): Boolean {
        val next = unread.firstOrNull() ?: return false
        if (!mayTake(next.part)) return false
        unread.removeFirst()
        try {
            if (next.part is HttpRequest) headStartedAt = null
            handle(assembler.add(next.part, next.arrivedAt, clock.now()))
        } finally {
            ReferenceCountUtil.release(next.part)
        }
        return true
    }

    private fun mayTake(part: HttpObject): Boolean =
        pipeline.isEmpty || (assembler.canAddBehindOthers(part) && pipeline.mayRead(assembler.bytesWith(part)))

    private fun handle(assembled: Assembled) = when (assembled) {
        Assembled.Incomplete -> Unit
        Assembled.Continue -> writer.writeContinue()
        is Assembled.Complete -> requestArrived(assembled)
        is Assembled.Unread -> refuse(assembled.response)
        is Assembled.Refused -> refuse(assembled.status, assembled.reason)
    }

    private fun requestArrived(complete: Assembled.Complete) {
        requestBytes = 0
        val id = pipeline.arrived(complete.bytes, !complete.keepAlive, complete.refusal?.let(::sized))
        if (complete.refusal == null) requests[id] = ArrivedRequest(complete.request, complete.reservedBytes)
        if (!complete.keepAlive) releaseUnread()
    }

    private fun refuse(status: Int, reason: String) {
        log.info("caller_refused", "status" to status, "reason" to reason)
        refuse(BufferedResponse(status, emptyList(), NO_BYTES))
    }

    /** Refuses what arrives now with the last response of this connection, as the rest can't be read. */
    private fun refuse(response: BufferedResponse) {
        if (!pipeline.acceptsMore) return
        pipeline.arrived(0, asksClose = true, sized(response))
        releaseUnread()
        pump()
    }

    private fun releaseUnread() {
        assembler.reset()
        unread.forEach { ReferenceCountUtil.release(it.part) }
        unread.clear()
    }

    /**
     * The request is matched to its route as it starts, in the same turn of the event loop, so that a new configuration
     * can't make an idempotent request that starts early a non-idempotent one.
     */
    private fun startNext(): Boolean {
        val start = pipeline.startNext(::isIdempotent) ?: return false
        counts.started(start.isEarly)
        val arrived = requests.getValue(start.id)
        arrived.job =
            scope.launch(start = CoroutineStart.UNDISPATCHED) { finish(start.id, serveOrFail(arrived.request)) }
        return true
    }

    /** After an internal error of this daemon the outcome of the request is unknown: it may have run. */
    private suspend fun serveOrFail(request: CallerRequest): BufferedResponse =
        try {
            serve(request)
        } catch (
            @Suppress("TooGenericExceptionCaught") throwable: Throwable,
        ) {
            if (throwable is CancellationException && !currentCoroutineContext().isActive) throw throwable
            log.error("request_faulty", throwable, "method" to request.method, "path" to request.path)
            LOST
        }

    private fun finish(id: Long, response: BufferedResponse) {
        val asksClose = response.headers.first("Connection").equals("close", ignoreCase = true)
        if (!pipeline.finished(id, sized(response), asksClose)) return
        release(id)
        lastProgressAt = clock.now()
        pump()
    }

    private fun writeNext(ignoresWritability: Boolean): Boolean {
        if (!writer.isWritable && !ignoresWritability) return false
        val next =
            pipeline.writeNext(isMoreArriving = unread.isNotEmpty() || assembler.isReceiving) ?: return false
        lastProgressAt = clock.now()
        if (pipeline.isEmpty) assembler.restartTime(lastProgressAt)
        if (next.closes) releaseAll()
        writeOrClose(next.response, next.closes)
        return true
    }

    /** A response that cannot be encoded ends the connection: without an end, its caller would wait for it. */
    private fun writeOrClose(response: BufferedResponse, closes: Boolean) {
        runCatching { writer.write(response, closes) }.onFailure {
            log.error("response_faulty", it, "status" to response.status)
            close()
        }
    }

    private fun sized(response: BufferedResponse): SizedResponse<BufferedResponse> {
        val headerBytes = response.headers.sumOf { it.first.length + it.second.length }
        return SizedResponse(response, response.body.size.toLong() + headerBytes)
    }

    private class ArrivedRequest(
        val request: CallerRequest,
        val reservedBytes: Int,
    ) {
        var job: Job? = null
    }

    private class UnreadPart(
        val part: HttpObject,
        val arrivedAt: Duration,
    )

    private companion object {
        const val REQUEST_TIMEOUT = 408
        val LOST = BufferedResponse(ResultCode.ANSWER_LOST.httpStatus, emptyList(), NO_BYTES)

        /** Heads' worth of bytes in a request: of its first line, its head, its trailers, and empty lines before it. */
        const val HEADS_PER_REQUEST = 4L

        /** Bytes on the wire for each byte of the longest body: small chunks need as much again for their framing. */
        const val FRAMING_FACTOR = 2L

        /** Bytes behind a request that asks for close after which reading stops until its response is written. */
        const val MAX_DROPPED_BYTES = 256L * 1024
        val log = eventLog("caller")
    }
}
