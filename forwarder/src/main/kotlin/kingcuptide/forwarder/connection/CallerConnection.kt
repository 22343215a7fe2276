package kingcuptide.forwarder.connection

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
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
import kotlin.time.Duration

/** One connection of a caller: serves its requests one after the other, and cancels the current one when it closes. */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val limits: CallerLimits,
    private val serve: suspend (CallerRequest) -> BufferedResponse,
    private val refuseByHead: (CallerRequest) -> BufferedResponse? = { null },
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var context: ChannelHandlerContext? = null
    private var head: HttpRequest? = null
    private val body = ByteArrayOutputStream(INITIAL_BODY_BYTES)
    private var bodyBytes = 0L

    /** Response to the current request, whose body is discarded; null if it is to be served. */
    private var refusal: BufferedResponse? = null
    private val pipelined = ArrayDeque<HttpObject>()
    private var job: Job? = null
    private var isClosing = false
    private var headStartedAt: Duration? = null
    private var lastByteAt = clock.now()

    /** Whether the connection closes after the next response. */
    var closesAfterResponse = false

    /** Whether a request waits for its response. */
    val isServing: Boolean get() = job != null

    /** Records when bytes arrive, before they are decoded. */
    val activityHandler =
        object : ChannelInboundHandlerAdapter() {
            override fun channelRead(context: ChannelHandlerContext, message: Any) {
                lastByteAt = clock.now()
                if (head == null && job == null && headStartedAt == null) headStartedAt = lastByteAt
                context.fireChannelRead(message)
            }
        }

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

    /** Ends the connection if its caller exceeds one of [limits]. */
    fun checkTimeouts(limits: CallerLimits) {
        if (job != null || isClosing) return
        val now = clock.now()
        val headStarted = headStartedAt
        when {
            headStarted != null && now - headStarted > limits.headTimeout ->
                refuse(REQUEST_TIMEOUT, "request head timed out")
            head != null && now - lastByteAt > limits.headTimeout ->
                refuse(REQUEST_TIMEOUT, "request body timed out")
            headStarted == null && head == null && now - lastByteAt > limits.idleTimeout -> close()
        }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || isClosing) {
            ReferenceCountUtil.release(message)
            return
        }
        if (job == null) return process(message)
        pipelined.addLast(message)
        if (pipelined.size > MAX_PIPELINED_PARTS) {
            log.info("caller_closed", "reason" to "too many pipelined requests")
            close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        job?.cancel()
        pipelined.forEach { ReferenceCountUtil.release(it) }
        pipelined.clear()
        onClosed(this)
    }

    @Deprecated("Deprecated in Java")
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
        body.reset()
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
        if (refusal == null) bytes.readBytes(body, bytes.readableBytes())
    }

    private fun start() {
        val request = head ?: return
        head = null
        val keepAlive = HttpUtil.isKeepAlive(request)
        refusal?.let {
            lastByteAt = clock.now()
            return respond(it, keepAlive)
        }
        val callerRequest = callerRequest(request, body.toByteArray())
        val serving = scope.launch { respond(serveOrFail(callerRequest), keepAlive) }
        if (serving.isActive) job = serving
        if (!serving.isActive) finishServing()
    }

    /** After an internal error of this daemon the outcome of the request is unknown: it may have run. */
    private suspend fun serveOrFail(request: CallerRequest): BufferedResponse =
        try {
            serve(request)
        } catch (exception: IllegalStateException) {
            internalError(request, exception)
        } catch (exception: IllegalArgumentException) {
            internalError(request, exception)
        }

    private fun internalError(request: CallerRequest, exception: RuntimeException): BufferedResponse {
        if (exception is CancellationException) throw exception
        log.error("request_faulty", exception, "method" to request.method, "path" to request.path)
        return BufferedResponse(ResultCode.ANSWER_LOST.httpStatus, emptyList(), NO_BYTES)
    }

    private fun respond(response: BufferedResponse, keepAlive: Boolean) {
        val staysOpen = keepAlive && !closesAfterResponse
        val encoded = encode(response, staysOpen)
        val written = context?.writeAndFlush(encoded)
        if (!staysOpen) {
            isClosing = true
            written?.addListener(ChannelFutureListener.CLOSE)
        }
        if (job != null) finishServing()
    }

    private fun finishServing() {
        job = null
        lastByteAt = clock.now()
        while (job == null && !isClosing && pipelined.isNotEmpty()) process(pipelined.removeFirst())
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
        isClosing = true
        head = null
        val response = encode(BufferedResponse(status, emptyList(), NO_BYTES), staysOpen = false)
        context?.writeAndFlush(response)?.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        const val REQUEST_TIMEOUT = 408
        const val INITIAL_BODY_BYTES = 256

        /** Decoded parts of pipelined requests that are kept while an earlier request is served. */
        const val MAX_PIPELINED_PARTS = 64
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
        val log = eventLog("caller")
    }
}
