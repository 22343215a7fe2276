package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.ServiceTraits
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpClientLimits
import kingcuptide.forwarder.connection.HttpConnection
import kingcuptide.forwarder.connection.HttpResult
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.eventLog
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
 * Asks the target on this host for its health: at a slow pace while all is well, and quickly while it can't be reached.
 *
 * Used on the event loop.
 */
class TargetMonitor(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val address: InetSocketAddress,
    private val names: HeaderNames,
    private val gate: TargetGate,
    private val traits: () -> ServiceTraits?,
    private val onChange: () -> Unit,
) : TargetTrouble {
    private var connection: HttpConnection? = null
    private var troubled = true
    private var lastAnswerAt = clock.now()
    private var suspectedAt = Duration.ZERO
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Which target answers at the address, or null while it is not known. */
    var targetId: TargetId? = null
        private set

    /** Whether the target can't be reached. */
    var isDown: Boolean = false
        private set

    fun start() {
        scope.launch {
            while (true) {
                val known = traits()
                if (known != null) check(known)
                delay(SHORTEST_PAUSE.inWholeMilliseconds)
                val pace = if (troubled || known == null) QUICK_PACE else SLOW_PACE
                withTimeoutOrNull((pace - SHORTEST_PAUSE).inWholeMilliseconds) { wake.receive() }
            }
        }
    }

    /** The target answered a request that it got at [startedAt]; one from before a break proves that it did not crash. */
    override fun heard(startedAt: Duration) {
        lastAnswerAt = clock.now()
        if (startedAt < suspectedAt) gate.clearPresumedCold()
    }

    /** A request met trouble on its way to the target: it may be another by now. */
    override fun suspect(reason: String) {
        if (!troubled) log.info("target_suspected", "reason" to reason)
        troubled = true
        suspectedAt = clock.now()
        traits()?.let { gate.presumeCold(it.coldFor) }
        wake.trySend(Unit)
    }

    /** No connection to the target can be opened. */
    override fun unreachable(reason: String) {
        troubled = true
        traits()?.let { gate.presumeCold(it.coldFor) }
        closeConnection()
        down(reason)
    }

    private suspend fun check(traits: ServiceTraits) {
        val call = HttpCall("GET", traits.healthPath, listOf("Host" to "${address.hostString}:${address.port}"))
        val end = withTimeoutOrNull(ANSWER_LIMIT.inWholeMilliseconds) { exchange(call) }
        when (end) {
            is HttpResult.Answered -> answered(end.response, traits)
            is HttpResult.NotSent -> unreachable(end.reason)
            else -> silent()
        }
    }

    /** A full target keeps this question waiting too, but goes on answering requests. */
    private fun silent() {
        closeConnection()
        troubled = true
        val silence = clock.now() - lastAnswerAt
        if (silence > SILENCE_LIMIT) down("silent for ${silence.inWholeMilliseconds} ms")
    }

    private fun down(reason: String) {
        if (isDown) return
        log.info("target_down", "address" to address, "reason" to reason)
        isDown = true
        onChange()
    }

    private suspend fun exchange(call: HttpCall): HttpResult {
        val kept = connection?.takeIf { it.isUsable }
        val used = kept ?: HttpConnection.open(loop, address, LIMITS) ?: return HttpResult.NotSent("connect failed")
        connection = used
        return used.exchange(call)
    }

    private fun answered(response: BufferedResponse, traits: ServiceTraits) {
        val id = response.headers.first(names.targetId)?.let(::TargetId)
        if (id != null && id != targetId) {
            log.info("target_identified", "target" to id, "before" to targetId)
            targetId = id
        }
        lastAnswerAt = clock.now()
        if (isDown) {
            log.info("target_back", "address" to address)
            isDown = false
            onChange()
        }
        troubled = response.status != HEALTHY
        val coldMs = response.headers.first(names.coldMs)?.toDoubleOrNull()
        if (coldMs !=
            null
        ) {
            gate.coldFor(coldMs.milliseconds)
        } else if (response.status == HEALTHY) {
            gate.coldFor(Duration.ZERO)
        }
    }

    private fun closeConnection() {
        connection?.close()
        connection = null
    }

    private companion object {
        const val HEALTHY = 200

        /** Pace of questions while the target answers as it should. */
        val SLOW_PACE = 1_500.milliseconds

        /** Pace of questions after trouble, so that a target that is back is found soon. */
        val QUICK_PACE = 200.milliseconds
        val SHORTEST_PAUSE = 100.milliseconds
        val ANSWER_LIMIT = 1.seconds

        /** Time without any answer after which a target that doesn't tell its health is held to be down. */
        val SILENCE_LIMIT = 1_500.milliseconds
        val LIMITS = HttpClientLimits(connectTimeout = 500.milliseconds, maxResponseBytes = 65_536)
        val log = eventLog("target")
    }
}
