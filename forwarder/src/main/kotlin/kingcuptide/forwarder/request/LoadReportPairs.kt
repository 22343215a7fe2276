package kingcuptide.forwarder.request

import kingcuptide.coordination.request.CallCounts
import kingcuptide.coordination.request.Demand
import kingcuptide.coordination.request.DemandEstimate
import kingcuptide.coordination.request.RunTimes
import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.microseconds

/** Returns [runTimes] as pairs of route key and tenths of a millisecond. */
internal fun flattenRunTimes(runTimes: RunTimes): List<Int> =
    runTimes.flatMap { (route, time) -> listOf(route, (time.inWholeMicroseconds / MICROS_PER_UNIT).toInt()) }

/** Returns the run times in [pairs]; empty if they are incomplete. Their range is checked where they are used. */
internal fun toRunTimes(pairs: List<Int>): RunTimes =
    toMap(pairs).mapValues { (_, units) -> (units * MICROS_PER_UNIT).microseconds }

/** Returns [demand] as groups of key, mean, trend and variance, in thousandths of a slot. */
internal fun flattenDemand(demand: Demand): List<Int> = demand.flatMap { (key, estimate) ->
    listOf(key) + listOf(estimate.mean, estimate.trend, estimate.variance).map { (it * UNITS_PER_SLOT).roundToInt() }
}

/** Returns the demand in [groups]; empty if they are incomplete. Its range is checked where it is used. */
internal fun toDemand(groups: List<Int>): Demand {
    if (groups.size % DEMAND_GROUP_SIZE != 0) return emptyMap()
    return groups.chunked(DEMAND_GROUP_SIZE).associate { (key, mean, trend, variance) ->
        key to DemandEstimate(mean / UNITS_PER_SLOT, trend / UNITS_PER_SLOT, variance / UNITS_PER_SLOT)
    }
}

/** Returns [calls] as pairs of service key and number. */
internal fun flattenCalls(calls: CallCounts): List<Int> = calls.flatMap { (service, count) -> listOf(service, count) }

/** Returns the calls in [pairs], or null if they are incomplete or negative. */
internal fun toCalls(pairs: List<Int>): CallCounts? =
    toMap(pairs).takeIf { calls -> pairs.size % 2 == 0 && calls.values.all { it in 0..MAX_CALLS } }

private fun toMap(pairs: List<Int>): Map<Int, Int> =
    if (pairs.size % 2 == 0) pairs.chunked(2).associate { (key, value) -> key to value } else emptyMap()

private const val MICROS_PER_UNIT = 100L
private const val UNITS_PER_SLOT = 1_000.0
private const val DEMAND_GROUP_SIZE = 4
private const val MAX_CALLS = 10_000
