package kingcuptide.standins

import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Capacity of a target: it runs up to [slots] requests at a time within [serviceTime] each, and up to [coldSlots] of
 * them for [coldStart] after it turned cold. Each request beyond slows down those that start then.
 */
data class TargetShape(
    val name: String,
    val slots: Int,
    val serviceTime: Duration,
    val coldSlots: Int,
    val coldStart: Duration,
)

/** Load of one target stand-in, and the count of its runs by request id. */
class TargetState(
    val shape: TargetShape,
) {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val inFlight = AtomicInteger()
    private val highestInFlight = AtomicInteger()
    private val highestCold = AtomicInteger()
    private val total = AtomicLong()

    @Volatile
    private var coldSince = TimeSource.Monotonic.markNow()

    /** Makes the target cold again without notice to its daemon. */
    fun turnCold() {
        coldSince = TimeSource.Monotonic.markNow()
    }

    /** Runs one request, longer by [extra]; returns which run of [requestId] this is, or 0 without an id. */
    suspend fun run(requestId: String?, extra: Duration): Int {
        total.incrementAndGet()
        val runNumber = requestId?.let { runs.computeIfAbsent(it) { AtomicInteger() }.incrementAndGet() } ?: 0
        val concurrent = inFlight.incrementAndGet()
        try {
            highestInFlight.accumulateAndGet(concurrent, ::maxOf)
            if (isCold()) highestCold.accumulateAndGet(concurrent, ::maxOf)
            val duration = serviceTime(concurrent) + extra
            if (duration > Duration.ZERO) delay(duration)
        } finally {
            inFlight.decrementAndGet()
        }
        return runNumber
    }

    /** Returns how often the request [requestId] has run here. */
    fun runsOf(requestId: String): Int = runs[requestId]?.get() ?: 0

    /** Returns one line of key=value pairs for tests. */
    fun report(): String =
        "total=${total.get()} in_flight=${inFlight.get()} highest_in_flight=${highestInFlight.get()} " +
            "highest_in_flight_cold=${highestCold.get()} cold=${isCold()} repeated_runs=${runs.values.count {
                it.get() > 1
            }}"

    fun isCold(): Boolean = coldSince.elapsedNow() < shape.coldStart

    private fun serviceTime(concurrent: Int): Duration {
        val capacity = if (isCold()) shape.coldSlots else shape.slots
        if (concurrent <= capacity) return shape.serviceTime
        val overload = concurrent.toDouble() / capacity
        return maxOf(shape.serviceTime, MIN_OVERLOADED_SERVICE_TIME) * (overload * overload)
    }

    private companion object {
        val MIN_OVERLOADED_SERVICE_TIME = 5.milliseconds
    }
}
