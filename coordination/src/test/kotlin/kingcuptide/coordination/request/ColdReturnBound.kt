package kingcuptide.coordination.request

import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An upper bound of the credit that any scheduler can expect from [requests] at a target that returns cold.
 *
 * A response within the objective has the credit 1, a later one [LATE_CREDIT]. Until the target is warm there are a
 * limited number of starts in any second; from then on every request may start at once, although slots are limited.
 * The best assignment of requests to starts is computed with all arrivals known. Run times are log-normal with [sigma]
 * and not known in advance, so the credit of a start is its expectation. All of this relaxes what a gate must respect,
 * so none can earn more on average.
 */
internal class ColdReturnBound(
    private val requests: List<Pair<RequestKind, Duration>>,
    coldReturn: ColdReturn,
    private val sigma: Double,
) {
    private val cold = coldReturn.cold

    /** No more than so many starts in any second: the one with number k is not before the whole second k / rate. */
    private val starts = List(ceil(cold / 1.seconds).toInt() * coldReturn.coldPerSecond) {
        1.seconds * (it / coldReturn.coldPerSecond)
    }

    /** Returns the greatest expected credit of all requests. */
    fun credit(): Double {
        val gains = requests.map { (kind, sentAt) ->
            val warm = creditOf(kind, sentAt, maxOf(sentAt, cold))
            starts.map { maxOf(0.0, creditOf(kind, sentAt, maxOf(sentAt, it)) - warm) }
        }
        val withoutStarts = requests.sumOf { (kind, sentAt) -> creditOf(kind, sentAt, maxOf(sentAt, cold)) }
        return withoutStarts + greatestSum(gains)
    }

    private fun creditOf(kind: RequestKind, sentAt: Duration, startAt: Duration): Double {
        val left = sentAt + kind.deadline - startAt
        if (left <= Duration.ZERO) return 0.0
        return LATE_CREDIT + (1 - LATE_CREDIT) * probabilityWithin(kind, sentAt + kind.objective - startAt)
    }

    private fun probabilityWithin(kind: RequestKind, limit: Duration): Double {
        if (limit <= Duration.ZERO) return 0.0
        return normal((ln(limit / kind.meanRunTime) + sigma * sigma / 2) / sigma)
    }

    /** The logistic approximation of the normal distribution, with an error below 0.01, raised by that error. */
    private fun normal(z: Double): Double = minOf(1.0, 1 / (1 + exp(-z * LOGISTIC_SLOPE)) + LOGISTIC_ERROR)

    /** Returns the greatest sum of [gains] with at most one start a request and one request a start (Hungarian method). */
    private fun greatestSum(gains: List<List<Double>>): Double {
        val rows = gains.size
        val columns = starts.size + rows
        val cost = { row: Int, column: Int -> if (column <= starts.size) -gains[row - 1][column - 1] else 0.0 }
        val u = DoubleArray(rows + 1)
        val v = DoubleArray(columns + 1)
        val rowOf = IntArray(columns + 1)
        for (row in 1..rows) {
            val way = IntArray(columns + 1)
            val least = DoubleArray(columns + 1) { Double.POSITIVE_INFINITY }
            val used = BooleanArray(columns + 1)
            rowOf[0] = row
            var column = 0
            while (rowOf[column] != 0) {
                used[column] = true
                var next = 0
                var delta = Double.POSITIVE_INFINITY
                for (other in 1..columns) {
                    if (used[other]) continue
                    val reduced = cost(rowOf[column], other) - u[rowOf[column]] - v[other]
                    if (reduced < least[other]) least[other] = reduced.also { way[other] = column }
                    if (least[other] < delta) delta = least[other].also { next = other }
                }
                for (other in 0..columns) {
                    if (used[other]) u[rowOf[other]] += delta else least[other] -= delta
                    if (used[other]) v[other] -= delta
                }
                column = next
            }
            while (column != 0) {
                rowOf[column] = rowOf[way[column]]
                column = way[column]
            }
        }
        return (1..starts.size).sumOf { if (rowOf[it] > 0) gains[rowOf[it] - 1][it - 1] else 0.0 }
    }

    companion object {
        const val LATE_CREDIT = 0.3
        private const val LOGISTIC_SLOPE = 1.702
        private const val LOGISTIC_ERROR = 0.01
    }
}
