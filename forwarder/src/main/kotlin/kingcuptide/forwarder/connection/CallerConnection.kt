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

/** One connection of a caller: reads one request after the other, and cancels its work once the caller has left. */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val limits: CallerLimits,
    private val fromTarget: Boolean,
    private val serve: suspend (CallerRequest) -> BufferedResponse,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var context: ChannelHandlerContext? = null
    private var head: HttpRequest? = null
    private val body = ByteArrayOutputStream(INITIAL_BODY_BYTES)
    private val pending = ArrayDeque<HttpObject>()
    private var job: Job? = null
    private var refused = false
    private var headBeganAt: Duration? = null
    private var lastByteAt = clock.now()

    /** Whether the next answer is the last one. */
    var closesAfterAnswer = false

    /** Whether a request waits for its answer. */
    val isServing: Boolean get() = job != null

    /** Notes when bytes come, before they make up a request. */
    val byteWatch =
        object : ChannelInboundHandlerAdapter() {
            override fun channelRead(context: ChannelHandlerContext, message: Any) {
                lastByteAt = clock.now()
                if (head == null && job == null && headBeganAt == null) headBeganAt = lastByteAt
                context.fireChannelRead(message)
            }
        }

    fun close() {
        context?.close()
    }

    /** Answers the request at work at once: its end is not known. */
    fun giveUp() {
        val serving = job ?: return
        job = null
        serving.cancel()
        closesAfterAnswer = true
        answer(BufferedResponse(ResultCode.ANSWER_LOST.httpStatus, emptyList(), NO_BYTES), keepAlive = false)
    }

    /** Ends the connection if its caller takes too long. */
    fun checkTime(limits: CallerLimits) {
        if (job != null || refused) return
        val now = clock.now()
        val began = headBeganAt
        when {
            began != null && now - began > limits.headTimeout -> refuse(REQUEST_TIMEOUT, "slow head")
            head != null && now - lastByteAt > limits.headTimeout -> refuse(REQUEST_TIMEOUT, "slow body")
            began == null && head == null && now - lastByteAt > limits.idleTimeout -> close()
        }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject || refused) {
            ReferenceCountUtil.release(message)
            return
        }
        if (job == null) return take(message)
        pending.addLast(message)
        if (pending.size > MAX_PENDING) {
            log.info("caller_closed", "reason" to "too many requests sent ahead")
            close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        job?.cancel()
        pending.forEach { ReferenceCountUtil.release(it) }
        pending.clear()
        onClosed(this)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        log.debug("caller_failed", "reason" to cause)
        context.close()
    }

    private fun take(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) return refuseMalformed(message.decoderResult().cause())
            if (message is HttpRequest) begin(message)
            if (message is HttpContent && head != null) append(message)
            if (message is LastHttpContent && head != null) start()
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(request: HttpRequest) {
        headBeganAt = null
        body.reset()
        if (!isProper(request)) return refuse(ResultCode.MALFORMED_REQUEST.httpStatus, "malformed head")
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes) {
            return refuse(ResultCode.BODY_TOO_LARGE.httpStatus, "body too large")
        }
        head = request
        if (HttpUtil.is100ContinueExpected(request)) {
            context?.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun isProper(request: HttpRequest): Boolean =
        request.uri().startsWith("/") &&
            request.headers().getAll(HttpHeaderNames.HOST).size == 1 &&
            request.protocolVersion() == HttpVersion.HTTP_1_1

    private fun append(content: HttpContent) {
        val bytes = content.content()
        if (body.size() + bytes.readableBytes() > limits.maxBodyBytes) {
            return refuse(ResultCode.BODY_TOO_LARGE.httpStatus, "body too large")
        }
        bytes.readBytes(body, bytes.readableBytes())
    }

    private fun start() {
        val request = head ?: return
        head = null
        val keepAlive = HttpUtil.isKeepAlive(request)
        val callerRequest =
            CallerRequest(
                request.method().name(),
                request.uri(),
                request.headers().map { it.key to it.value },
                body.toByteArray(),
                clock.now(),
                fromTarget,
            )
        val serving = scope.launch { answer(served(callerRequest), keepAlive) }
        if (serving.isActive) job = serving
        if (!serving.isActive) served()
    }

    /** A fault of this daemon is answered like any other lost request: it may have run. */
    private suspend fun served(request: CallerRequest): BufferedResponse =
        try {
            serve(request)
        } catch (exception: IllegalStateException) {
            faulty(request, exception)
        } catch (exception: IllegalArgumentException) {
            faulty(request, exception)
        }

    private fun faulty(request: CallerRequest, exception: RuntimeException): BufferedResponse {
        if (exception is CancellationException) throw exception
        log.error("request_faulty", exception, "method" to request.method, "path" to request.path)
        return BufferedResponse(ResultCode.ANSWER_LOST.httpStatus, emptyList(), NO_BYTES)
    }

    private fun answer(answer: BufferedResponse, keepAlive: Boolean) {
        val stays = keepAlive && !closesAfterAnswer
        val response = responseOf(answer, stays)
        val written = context?.writeAndFlush(response)
        if (!stays) {
            refused = true
            written?.addListener(ChannelFutureListener.CLOSE)
        }
        if (job != null) served()
    }

    private fun served() {
        job = null
        lastByteAt = clock.now()
        while (job == null && !refused && pending.isNotEmpty()) take(pending.removeFirst())
    }

    private fun responseOf(answer: BufferedResponse, stays: Boolean): DefaultFullHttpResponse {
        val content = if (answer.body.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(answer.body)
        val status = HttpResponseStatus.valueOf(answer.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        answer.headers.forEach { (name, value) -> response.headers().add(name, value) }
        if (answer.status !in BODILESS) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body.size)
        if (!stays) response.headers().set(HttpHeaderNames.CONNECTION, "close")
        return response
    }

    private fun refuseMalformed(cause: Throwable) {
        val tooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val code = if (tooLong) ResultCode.HEADERS_TOO_LARGE else ResultCode.MALFORMED_REQUEST
        refuse(code.httpStatus, cause.toString())
    }

    private fun refuse(status: Int, reason: String) {
        log.info("caller_refused", "status" to status, "reason" to reason)
        refused = true
        head = null
        val response = responseOf(BufferedResponse(status, emptyList(), NO_BYTES), stays = false)
        context?.writeAndFlush(response)?.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        const val REQUEST_TIMEOUT = 408
        const val INITIAL_BODY_BYTES = 256

        /** Parts of requests that a caller may send before it has the answer to the one before. */
        const val MAX_PENDING = 64
        val BODILESS = setOf(204, 304)
        val log = eventLog("caller")
    }
}
