package kingcuptide.forwarder.connection

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One connection of a caller: serves its requests one after the other, and cancels the current one when it closes. */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val limits: CallerLimits,
    private val buffers: BufferLimit,
    private val serve: suspend (CallerRequest) -> BufferedResponse,
    private val refuseByHead: (CallerRequest) -> BufferedResponse? = { null },
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var context: ChannelHandlerContext? = null
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream(INITIAL_BODY_BYTES)
    private var bodyBytes = 0L

    /** Response to the current request, whose body is discarded; null if it is to be served. */
    private var refusal: BufferedResponse? = null
    private val pipelined = ArrayDeque<HttpObject>()
    private var job: Job? = null
    private var isClosing = false
    private var closingSince = Duration.ZERO
    private var headStartedAt: Duration? = null
    private var bodyStartedAt = Duration.ZERO
    private var requestBytes = 0L
    private var discardedBytes = 0L
    private var reservedBytes = 0
    private var isProcessing = false
    private var lastByteAt = clock.now()

    /** Whether the connection closes after the next response. */
    var closesAfterResponse = false

    /** Whether a request waits for its response. */
    val isServing: Boolean get() = job != null

    /** Records bytes and when they arrive, before they are decoded: the decoder skips some, and never ends others. */
    val activityHandler =
        object : ChannelInboundHandlerAdapter() {
            override fun isSharable(): Boolean = false

            override fun channelRead(context: ChannelHandlerContext, message: Any) {
                if (isClosing) return discard(message)
                lastByteAt = clock.now()
                val isIdle = head == null && job == null && pipelined.isEmpty()
                if (isIdle && headStartedAt == null) headStartedAt = lastByteAt
                if (message is ByteBuf) requestBytes += message.readableBytes()
                context.fireChannelRead(message)
                if (job == null && pipelined.isEmpty()) checkLength()
            }
        }

    override fun isSharable(): Boolean = false

    fun close() {
        context?.close()
    }

    /** Ends the current request at once with [ResultCode.ANSWER_LOST], as its outcome is unknown. */
    fun abortRequest() {
        val serving = job ?: return
        job = null
        serving.cancel()
        closesAfterResponse = true
        respond(BufferedResponse(ResultCode.ANSWER_LOST.httpStatus, emptyList(), NO_BYTES), keepAlive = false)
    }

    /** Refuses a request that has begun to arrive, since the daemon stops, or closes the connection if there is none. */
    fun endAtStop() {
        if (job != null || isClosing) return
        if (head == null && headStartedAt == null) return closeAfterWrites()
        refuse(ResultCode.DRAINING.httpStatus, "request incomplete at the end of a stop")
    }

    /** Ends the connection if its caller exceeds one of [limits]. */
    fun checkTimeouts(limits: CallerLimits) {
        val now = clock.now()
        if (isClosing && now - closingSince > limits.idleTimeout) close()
        if (job != null || isClosing) return
        val headStarted = headStartedAt
        when {
            headStarted != null && now - headStarted > limits.headTimeout ->
                refuse(REQUEST_TIMEOUT, "request head timed out")
            head != null && (now - lastByteAt > limits.headTimeout || isBodyTooSlow(now, limits)) ->
                refuse(REQUEST_TIMEOUT, "request body timed out")
            headStarted == null && head == null && now - lastByteAt > limits.idleTimeout -> close()
        }
    }

    private fun isBodyTooSlow(now: Duration, limits: CallerLimits): Boolean =
        now - bodyStartedAt > limits.idleTimeout + 1.seconds * (bodyBytes.toDouble() / MIN_BODY_BYTES_PER_SECOND)

    /** Bounds the bytes of a request on the wire, of which chunk extensions and empty lines are no part of it. */
    private fun checkLength() {
        if (isClosing) return
        val isInBody = head != null
        val maxBodyBytes = if (isInBody) minOf(limits.maxBodyBytes, Int.MAX_VALUE.toLong()) else 0
        val maxBytes = limits.maxHeadBytes * HEADS_PER_REQUEST + maxBodyBytes * FRAMING_FACTOR
        if (requestBytes <= maxBytes) return
        val code = if (isInBody) ResultCode.BODY_TOO_LARGE else ResultCode.HEADERS_TOO_LARGE
        refuse(code.httpStatus, "$requestBytes bytes without the end of a request")
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing) {
            ReferenceCountUtil.release(message)
            return
        }
        if (job == null && pipelined.isEmpty() && context.channel().isWritable) return process(message)
        pipelined.addLast(message)
        if (pipelined.size > MAX_PIPELINED_PARTS) context.channel().config().isAutoRead = false
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) = processPipelined()

    override fun channelInactive(context: ChannelHandlerContext) {
        job?.cancel()
        releaseBody()
        pipelined.forEach { ReferenceCountUtil.release(it) }
        pipelined.clear()
        onClosed(this)
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        log.debug("caller_failed", "reason" to cause)
        context.close()
    }

    private fun process(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) return refuseMalformed(message.decoderResult().cause())
            if (message is HttpRequest) beginRequest(message)
            if (message is HttpContent && head != null) append(message)
            if (message is LastHttpContent && head != null) start()
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun beginRequest(request: HttpRequest) {
        headStartedAt = null
        bodyStartedAt = clock.now()
        bodyBytes = 0
        refusal = null
        if (!isWellFormed(request)) return refuse(ResultCode.MALFORMED_REQUEST.httpStatus, "malformed request head")
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes) {
            return refuse(ResultCode.BODY_TOO_LARGE.httpStatus, "request body too large")
        }
        val refused = refuseByHead(callerRequest(request, NO_BYTES))
        val expectsContinue = HttpUtil.is100ContinueExpected(request)
        // Whether the caller will send the body is not known then, so the connection can't be used any more.
        if (refused != null && expectsContinue) return respond(refused, keepAlive = false)
        refusal = refused
        head = request
        if (expectsContinue) {
            context?.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun callerRequest(request: HttpRequest, body: ByteArray) =
        CallerRequest(
            request.method().name(),
            request.uri(),
            request.headers().map { it.key to it.value },
            body,
            clock.now(),
        )

    private fun isWellFormed(request: HttpRequest): Boolean =
        request.uri().startsWith("/") &&
            request.headers().getAll(HttpHeaderNames.HOST).size == 1 &&
            request.protocolVersion() == HttpVersion.HTTP_1_1

    private fun append(content: HttpContent) {
        val bytes = content.content()
        bodyBytes += bytes.readableBytes()
        if (bodyBytes > limits.maxBodyBytes) {
            return refuse(ResultCode.BODY_TOO_LARGE.httpStatus, "request body too large")
        }
        if (refusal != null) return
        val length = bytes.readableBytes()
        if (!buffers.tryReserve(length)) {
            return refuse(ResultCode.ENTRY_FULL.httpStatus, "too many bytes of request bodies are buffered")
        }
        reservedBytes += length
        bytes.readBytes(body, length)
    }

    private fun releaseBody() {
        body = ByteArrayOutputStream(INITIAL_BODY_BYTES)
        buffers.release(reservedBytes)
        reservedBytes = 0
    }

    private fun start() {
        val request = head ?: return
        head = null
        requestBytes = 0
        val content = body.toByteArray()
        body = ByteArrayOutputStream(INITIAL_BODY_BYTES)
        val keepAlive = HttpUtil.isKeepAlive(request)
        refusal?.let {
            lastByteAt = clock.now()
            return respond(it, keepAlive)
        }
        val callerRequest = callerRequest(request, content)
        val serving = scope.launch { respondOrClose(serveOrFail(callerRequest), keepAlive) }
        if (serving.isActive) job = serving
        if (!serving.isActive) finishServing()
    }

    /** After an internal error of this daemon the outcome of the request is unknown: it may have run. */
    private suspend fun serveOrFail(request: CallerRequest): BufferedResponse =
        try {
            serve(request)
        } catch (exception: CancellationException) {
            throw exception
        } catch (
            @Suppress("TooGenericExceptionCaught") throwable: Throwable,
        ) {
            log.error("request_faulty", throwable, "method" to request.method, "path" to request.path)
            BufferedResponse(ResultCode.ANSWER_LOST.httpStatus, emptyList(), NO_BYTES)
        }

    /** A response that cannot be encoded ends the connection: without an end, its caller would wait for it. */
    private fun respondOrClose(response: BufferedResponse, keepAlive: Boolean) {
        runCatching { respond(response, keepAlive) }.onFailure {
            log.error("response_faulty", it, "status" to response.status)
            job = null
            close()
        }
    }

    private fun respond(response: BufferedResponse, keepAlive: Boolean) {
        val staysOpen = keepAlive && (!closesAfterResponse || pipelined.isNotEmpty())
        context?.writeAndFlush(encode(response, staysOpen))
        if (!staysOpen) closeAfterWrites()
        if (job != null) finishServing()
    }

    private fun finishServing() {
        job = null
        lastByteAt = clock.now()
        releaseBody()
        processPipelined()
    }

    /**
     * Continues with what has arrived meanwhile, as far as the caller reads the responses. It is a loop, since a recursion
     * for each request that is refused at once would be as deep as their number.
     */
    private fun processPipelined() {
        val channel = context?.channel() ?: return
        if (isProcessing) return
        isProcessing = true
        while (job == null && !isClosing && pipelined.isNotEmpty() && channel.isWritable) {
            process(pipelined.removeFirst())
        }
        isProcessing = false
        if (pipelined.isEmpty() && !channel.config().isAutoRead) channel.config().isAutoRead = true
    }

    /**
     * Closes the connection once all responses are written. Bytes that arrive until then and shortly after are discarded:
     * to close a connection with unread bytes resets it, and its caller would lose the last response.
     */
    private fun closeAfterWrites() {
        val context = context ?: return
        isClosing = true
        closingSince = clock.now()
        context.channel().config().isAutoRead = true
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            val channel = context.channel() as? DuplexChannel
            if (!it.isSuccess || channel == null || !channel.isActive) return@addListener close()
            channel.shutdownOutput()
            context.executor().schedule(::close, LINGER_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    private fun discard(message: Any) {
        if (message is ByteBuf) discardedBytes += message.readableBytes()
        ReferenceCountUtil.release(message)
        if (discardedBytes > MAX_DISCARDED_BYTES) close()
    }

    private fun encode(response: BufferedResponse, staysOpen: Boolean): DefaultFullHttpResponse {
        val content = if (response.body.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(response.body)
        val status = HttpResponseStatus.valueOf(response.status)
        val encoded = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers.forEach { (name, value) -> encoded.headers().add(name, value) }
        if (response.status !in STATUSES_WITHOUT_BODY) {
            encoded.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body.size)
        }
        if (!staysOpen) encoded.headers().set(HttpHeaderNames.CONNECTION, "close")
        return encoded
    }

    private fun refuseMalformed(cause: Throwable) {
        val tooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val code = if (tooLong) ResultCode.HEADERS_TOO_LARGE else ResultCode.MALFORMED_REQUEST
        refuse(code.httpStatus, cause.toString())
    }

    private fun refuse(status: Int, reason: String) {
        log.info("caller_refused", "status" to status, "reason" to reason)
        head = null
        releaseBody()
        context?.writeAndFlush(encode(BufferedResponse(status, emptyList(), NO_BYTES), staysOpen = false))
        closeAfterWrites()
    }

    private companion object {
        const val REQUEST_TIMEOUT = 408
        const val INITIAL_BODY_BYTES = 256

        /** Decoded parts of pipelined requests, kept while an earlier one is served, after which no more are read. */
        const val MAX_PIPELINED_PARTS = 64

        /** Heads' worth of bytes in a request: of its first line, its head, its trailers, and empty lines before it. */
        const val HEADS_PER_REQUEST = 4L

        /** Bytes on the wire for each byte of the longest body: small chunks need as much again for their framing. */
        const val FRAMING_FACTOR = 2L

        /** Rate at which a body must arrive on average beyond the idle timeout; the slowest links are faster. */
        const val MIN_BODY_BYTES_PER_SECOND = 1_000.0

        /** Time in which a caller may still send after the end of its last response, and bytes that are discarded then. */
        val LINGER_TIME = 1.seconds
        const val MAX_DISCARDED_BYTES = 4L * 1024 * 1024
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
        val log = eventLog("caller")
    }
}
