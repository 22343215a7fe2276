package kingcuptide.coordination.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Results of an [UnevenTargetSimulation], after its warm-up. */
internal class UnevenResult(
    private val targets: Int,
) {
    private val loadSums = DoubleArray(targets)
    private val windowSums = HashMap<Long, DoubleArray>()
    private val windowSamples = HashMap<Long, Int>()
    private val sentBySecond = HashMap<Long, IntArray>()
    private var waits = Duration.ZERO
    private var times = Duration.ZERO
    private var sentCount = 0
    private var otherRegion = 0
    private var otherDomain = 0
    var answered = 0
        private set
    var refusals = 0
    var lost = 0

    /** Records the time to finish the queue of each target, in mean run times. */
    fun sample(elapsed: Duration, loads: List<Double>) {
        val number = elapsed.inWholeSeconds / WINDOW.inWholeSeconds
        windowSamples.merge(number, 1, Int::plus)
        val window = windowSums.getOrPut(number) { DoubleArray(loads.size) }
        loads.forEachIndexed { index, load ->
            loadSums[index] += load
            window[index] += load
        }
    }

    fun sent(elapsed: Duration, target: Int, fromDomain: Int, toDomain: Int) {
        sentCount++
        sentBySecond.getOrPut(elapsed.inWholeSeconds) { IntArray(targets) }[target]++
        if (fromDomain != toDomain) otherDomain++
        if (fromDomain / 2 != toDomain / 2) otherRegion++
    }

    fun answered(wait: Duration, time: Duration) {
        answered++
        waits += wait
        times += time
    }

    /** Requests that entries sent to [target] in each second from [from], as shares of all requests. */
    fun sentShares(target: Int, from: Int, until: Int): List<Double> = (from until until).map { second ->
        val sent = sentBySecond.getValue(second.toLong())
        sent[target].toDouble() / sent.sum()
    }

    val meanWait: Duration get() = waits / answered
    val meanTime: Duration get() = times / answered
    val otherRegionShare: Double get() = otherRegion.toDouble() / sentCount
    val otherDomainShare: Double get() = otherDomain.toDouble() / sentCount

    /** Time to finish of the most loaded target, as a multiple of the mean of all targets, over the whole run. */
    val maxToMean: Double get() = maxToMean(loadSums)

    /** The same in the worst of the windows of 10 s. */
    val worstWindowMaxToMean: Double get() = windowSums.values.maxOf(::maxToMean)

    /** Time to finish of the most loaded target in the worst of these windows, in mean run times. */
    val worstWindowLoad: Double get() = windowSums.maxOf { (window, sums) ->
        sums.max() / windowSamples.getValue(window)
    }

    private fun maxToMean(sums: DoubleArray): Double = sums.max() / sums.average()

    override fun toString(): String =
        "max/mean %.2f (10 s: %.2f, load %.1f) wait %.1f ms time %.1f ms refused %d lost %d of %d, other region %.4f domain %.3f"
            .format(
                maxToMean,
                worstWindowMaxToMean,
                worstWindowLoad,
                waits.inWholeMicroseconds / 1e3 / answered,
                times.inWholeMicroseconds / 1e3 / answered,
                refusals,
                lost,
                answered,
                otherRegionShare,
                otherDomainShare,
            )

    private companion object {
        val WINDOW = 10.seconds
    }
}
