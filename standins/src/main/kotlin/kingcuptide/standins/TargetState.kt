package kingcuptide.standins

import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * What a target bears. While cold it bears [coldSlots] requests at a time; each one beyond makes all of them slower.
 */
data class TargetShape(
    val name: String,
    val slots: Int,
    val serviceTime: Duration,
    val coldSlots: Int,
    val coldStart: Duration,
)

/** The runs and the load of one target stand-in. It records every run by request id. */
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

    /** Makes the target cold again, without telling anyone. */
    fun turnCold() {
        coldSince = TimeSource.Monotonic.markNow()
    }

    /** Runs one request; [requestId] is counted if there is one. */
    suspend fun run(requestId: String?, extra: Duration): Int {
        total.incrementAndGet()
        val nth = requestId?.let { runs.computeIfAbsent(it) { AtomicInteger() }.incrementAndGet() } ?: 0
        val now = inFlight.incrementAndGet()
        try {
            highestInFlight.accumulateAndGet(now, ::maxOf)
            if (isCold()) highestCold.accumulateAndGet(now, ::maxOf)
            val delayed = serviceTime(now) + extra
            if (delayed > Duration.ZERO) delay(delayed)
        } finally {
            inFlight.decrementAndGet()
        }
        return nth
    }

    /** Returns how often the request [requestId] has run here. */
    fun runsOf(requestId: String): Int = runs[requestId]?.get() ?: 0

    /** Returns one line of key=value pairs for tests to read. */
    fun report(): String =
        "total=${total.get()} in_flight=${inFlight.get()} highest_in_flight=${highestInFlight.get()} " +
            "highest_in_flight_cold=${highestCold.get()} cold=${isCold()} repeated_runs=${runs.values.count {
                it.get() > 1
            }}"

    fun isCold(): Boolean = coldSince.elapsedNow() < shape.coldStart

    private fun serviceTime(concurrent: Int): Duration {
        val borne = if (isCold()) shape.coldSlots else shape.slots
        if (concurrent <= borne) return shape.serviceTime
        val overload = concurrent.toDouble() / borne
        return maxOf(shape.serviceTime, MIN_OVERLOADED) * (overload * overload)
    }

    private companion object {
        val MIN_OVERLOADED = 5.milliseconds
    }
}
