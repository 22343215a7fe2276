package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.ServiceTraits
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.HttpAnswer
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpClientLimits
import kingcuptide.forwarder.connection.HttpConnection
import kingcuptide.forwarder.connection.HttpEnd
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CoroutineScope
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
class TargetWatch(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val address: InetSocketAddress,
    private val names: HeaderNames,
    private val gate: TargetGate,
    private val traits: () -> ServiceTraits?,
) {
    private var connection: HttpConnection? = null
    private var troubled = true

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
                delay((if (troubled || known == null) QUICK_PACE else SLOW_PACE).inWholeMilliseconds)
            }
        }
    }

    /** A request met trouble on its way to the target: it may be another by now. */
    fun suspect(reason: String) {
        if (!troubled) log.info("target_suspected", "reason" to reason)
        troubled = true
        traits()?.let { gate.presumeCold(it.coldFor) }
    }

    private suspend fun check(traits: ServiceTraits) {
        val call = HttpCall("GET", traits.healthPath, listOf("Host" to "${address.hostString}:${address.port}"))
        val end = withTimeoutOrNull(ANSWER_LIMIT.inWholeMilliseconds) { exchange(call) }
        when (end) {
            is HttpEnd.Answered -> answered(end.answer, traits)
            is HttpEnd.NotSent -> unreachable(end.reason)
            else -> closeConnection()
        }
    }

    private suspend fun exchange(call: HttpCall): HttpEnd {
        val kept = connection?.takeIf { it.isUsable }
        val used = kept ?: HttpConnection.open(loop, address, LIMITS) ?: return HttpEnd.NotSent("connect failed")
        connection = used
        return used.exchange(call)
    }

    private fun answered(answer: HttpAnswer, traits: ServiceTraits) {
        val id = answer.headers.first(names.targetId)?.let(::TargetId)
        if (id != null && id != targetId) {
            log.info("target_identified", "target" to id, "before" to targetId)
            targetId = id
        }
        isDown = false
        troubled = answer.status != HEALTHY
        val coldMs = answer.headers.first(names.coldMs)?.toDoubleOrNull()
        if (coldMs != null) gate.coldFor(coldMs.milliseconds) else if (answer.status == HEALTHY) gate.coldFor(Duration.ZERO)
    }

    private fun unreachable(reason: String) {
        if (!isDown) log.info("target_down", "address" to address, "reason" to reason)
        isDown = true
        troubled = true
        traits()?.let { gate.presumeCold(it.coldFor) }
        closeConnection()
    }

    private fun closeConnection() {
        connection?.close()
        connection = null
    }

    private companion object {
        const val HEALTHY = 200

        /** Pace of questions while the target answers as it should. */
        val SLOW_PACE = 1.seconds

        /** Pace of questions after trouble, so that a target that is back is found soon. */
        val QUICK_PACE = 200.milliseconds
        val ANSWER_LIMIT = 1.seconds
        val LIMITS = HttpClientLimits(connectTimeout = 500.milliseconds, maxAnswerBytes = 65_536)
        val log = eventLog("target")
    }
}
