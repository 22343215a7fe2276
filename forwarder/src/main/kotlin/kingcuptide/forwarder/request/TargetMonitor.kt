package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.ServiceTraits
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.ConnectFailure
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpClientLimits
import kingcuptide.forwarder.connection.HttpConnection
import kingcuptide.forwarder.connection.HttpResult
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.eventLog
import kingcuptide.forwarder.request.TargetFailure.ListenerClosed
import kingcuptide.forwarder.request.TargetFailure.Unresponsive
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks the health of the target on this host, more often while it is suspected, unhealthy or unreachable.
 *
 * Used on the event loop.
 *
 * @param onChange gets what is wrong with the target whenever that changes, or null once the target responds again
 */
class TargetMonitor(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val address: InetSocketAddress,
    private val names: HeaderNames,
    private val gate: TargetGate,
    private val notices: TargetNotices,
    private val traits: () -> ServiceTraits?,
    private val onChange: (TargetFailure?) -> Unit,
) : TargetObserver {
    private var connection: HttpConnection? = null
    private var needsFastChecks = true
    private var lastResponseAt = clock.now()
    private var suspectedAt = Duration.ZERO
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    /** Id of the target that responds at the address, or null while unknown. */
    var targetId: TargetId? = null
        private set

    private var failure: TargetFailure? = null

    /** Whether the target is unreachable or has been silent for too long. */
    val isDown: Boolean get() = failure != null

    fun start() {
        scope.launch {
            while (true) {
                val isChecked = checkOrFail()
                delay(MIN_CHECK_PAUSE.inWholeMilliseconds)
                val interval = if (needsFastChecks || !isChecked) FAST_CHECK_INTERVAL else CHECK_INTERVAL
                withTimeoutOrNull((interval - MIN_CHECK_PAUSE).inWholeMilliseconds) { wakeUps.receive() }
            }
        }
    }

    /** A response to a request sent before the last suspicion proves that the target has not crashed. */
    override fun responded(startedAt: Duration) {
        lastResponseAt = clock.now()
        if (startedAt < suspectedAt) gate.clearPresumedCold()
    }

    /** A request to the target failed: another target may have taken its place. */
    override fun suspect(reason: String) {
        if (!needsFastChecks) log.info("target_suspected", "reason" to reason)
        needsFastChecks = true
        suspectedAt = clock.now()
        traits()?.let { gate.presumeCold(it.coldFor) }
        wakeUps.trySend(Unit)
    }

    override fun unreachable(failure: ConnectFailure) {
        needsFastChecks = true
        traits()?.let { gate.presumeCold(it.coldFor) }
        closeConnection()
        val isRefused = failure.isRefused
        markDown(if (isRefused) ListenerClosed(failure.reason) else Unresponsive(failure.reason))
    }

    /**
     * Checks the target once its traits are known, and returns whether they are. An unexpected error ends this check only,
     * since nobody would check the target after its task, and shows nothing about the target.
     */
    private suspend fun checkOrFail(): Boolean =
        try {
            traits()?.let { check(it) } != null
        } catch (exception: CancellationException) {
            throw exception
        } catch (
            @Suppress("TooGenericExceptionCaught") throwable: Throwable,
        ) {
            log.error("task_failed", throwable)
            closeConnection()
            needsFastChecks = true
            false
        }

    private suspend fun check(traits: ServiceTraits) {
        val call = HttpCall("GET", traits.healthPath, listOf("Host" to "${address.hostString}:${address.port}"))
        val sentAt = clock.now()
        val result = withTimeoutOrNull(RESPONSE_TIMEOUT.inWholeMilliseconds) { exchange(call) }
        when (result) {
            is HttpResult.Answered -> applyResponse(result.response, sentAt)
            is HttpResult.NotSent -> unreachable(result.failure)
            else -> noResponse()
        }
    }

    /**
     * A health check waits for a slot as requests do, so that a target whose slots are all in use may respond to neither
     * for as long as its requests run.
     */
    private fun noResponse() {
        closeConnection()
        needsFastChecks = true
        if (gate.isBusy()) return
        val silence = clock.now() - lastResponseAt
        if (silence > DOWN_AFTER_SILENCE) markDown(Unresponsive("no response for ${silence.inWholeMilliseconds} ms"))
    }

    /** A target whose listener has closed may still turn out to be unresponsive, but not the other way round. */
    private fun markDown(observed: TargetFailure) {
        val before = failure
        if (before is Unresponsive || (before != null && observed is ListenerClosed)) return
        log.info("target_down", "address" to address, "reason" to observed.reason)
        failure = observed
        onChange(observed)
    }

    private suspend fun exchange(call: HttpCall): HttpResult {
        val open = connection?.takeIf { it.isUsable }
        var failure = ConnectFailure("connect failed")
        val used =
            open
                ?: HttpConnection.open(loop, address, CLIENT_LIMITS) { failure = it }
                ?: return HttpResult.NotSent(failure)
        connection = used
        return used.exchange(call)
    }

    private fun applyResponse(response: BufferedResponse, sentAt: Duration) {
        val id = response.headers.first(names.targetId)?.let(::TargetId)
        if (id != null && id != targetId) {
            log.info("target_identified", "target" to id, "before" to targetId)
            val before = targetId
            targetId = id
            before?.let(::replaced)
        }
        notices.healthChecked(response.headers, sentAt)
        lastResponseAt = clock.now()
        if (isDown) {
            log.info("target_back", "address" to address)
            failure = null
            onChange(null)
        }
        needsFastChecks = response.status != OK_STATUS
        val coldMs = response.headers.first(names.coldMs)?.toDoubleOrNull()
        if (coldMs !=
            null
        ) {
            gate.coldFor(coldMs.milliseconds)
        } else if (response.status == OK_STATUS) {
            gate.coldFor(Duration.ZERO)
        }
    }

    private fun replaced(before: TargetId) {
        notices.targetReplaced()
        onChange(TargetFailure.Replaced(before))
    }

    private fun closeConnection() {
        connection?.close()
        connection = null
    }

    private companion object {
        const val OK_STATUS = 200

        /** Interval between checks of a healthy target. */
        val CHECK_INTERVAL = 1_500.milliseconds

        /** Interval between checks of any other target, so that its return is found soon. */
        val FAST_CHECK_INTERVAL = 200.milliseconds
        val MIN_CHECK_PAUSE = 100.milliseconds
        val RESPONSE_TIMEOUT = 1.seconds

        /** Time without a response to any request after which a target that fails a health check is down. */
        val DOWN_AFTER_SILENCE = 1_500.milliseconds
        val CLIENT_LIMITS = HttpClientLimits(connectTimeout = 500.milliseconds, maxResponseBytes = 65_536)
        val log = eventLog("target")
    }
}
