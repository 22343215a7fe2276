package kingcuptide.forwarder.request

import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.BufferedResponse
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpResult
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.process.HeaderNames
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A target on virtual time that names request rates in its responses, or says that it leaves; [onArrival] gets the id of each request. */
internal class SimulatedTarget(
    private val time: VirtualTime,
    private val names: HeaderNames,
    private val random: Random,
    private val number: Int,
    private val onArrival: (String) -> Unit,
) : TargetCalls {
    /** The rate that responses name from [at] on; null names none. */
    data class NamedRate(val at: Duration, val perSecond: Double?)

    val namedRates = ArrayList<NamedRate>()

    /** Whether responses say that this target leaves. */
    var isLeaving = false

    /** Names [perSecond] in all responses from now on, or no rate if it is null. */
    fun name(perSecond: Double?) {
        namedRates += NamedRate(time.now(), perSecond)
    }

    override suspend fun call(call: HttpCall, idempotent: Boolean, accepts: (Headers) -> Boolean): HttpResult {
        val requestId = checkNotNull(call.headers.first(names.requestId))
        onArrival(requestId)
        delay((MEAN_RUN_TIME * (0.5 + random.nextDouble())).inWholeMilliseconds)
        val rate = namedRates.lastOrNull()?.perSecond
        val headers =
            listOf(names.requestId to requestId, names.targetSignature to "proof", NUMBER_HEADER to "$number") +
                listOfNotNull(rate?.let { names.rateLimit to "$it" }, (names.leaving to "1").takeIf { isLeaving })
        return HttpResult.Answered(BufferedResponse(STATUS_OK, headers, NO_BYTES))
    }

    companion object {
        val MEAN_RUN_TIME = 160.milliseconds

        /** Names the target that responded. */
        const val NUMBER_HEADER = "Number"
        private const val STATUS_OK = 200
    }
}
