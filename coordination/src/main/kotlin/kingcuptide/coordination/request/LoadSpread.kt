package kingcuptide.coordination.request

import kingcuptide.coordination.version.KnownTarget
import kotlin.math.pow
import kotlin.random.Random

/**
 * A target that may get a request.
 *
 * @property capacity slots by the speed of the target, less what failures take
 * @property queue smoothed number of requests at the target and its gate, or null if unknown
 * @property outstanding requests of this entry at the target
 */
internal class SpreadOption(
    val target: KnownTarget,
    val distance: Distance,
    val capacity: Double,
    val queue: Double?,
    val outstanding: Int,
)

/**
 * Chooses a target by the time that it needs to finish its queue, relative to the mean run time of its service.
 *
 * Load reports are older than most requests run, so a target with a short queue in its report may have a long one by
 * now. All entries see the same reports: if each chose the best target, they would overload it until the next report.
 * So reports shift only the odds, and in proportion to the difference. What is known without delay, the outstanding
 * requests of this entry, decides between the two or three targets of a sample.
 */
internal class LoadSpread(private val random: Random) {
    fun choose(options: List<SpreadOption>, plan: SpillPlan): TargetPick {
        val (inRegion, elsewhere) = options.partition { it.distance != Distance.OTHER_REGION }
        val (inDomain, nearby) = inRegion.partition { it.distance == Distance.SAME_DOMAIN }
        reasonToLeave(inRegion, elsewhere, plan.elsewhere)?.let { return TargetPick(sampleFrom(elsewhere, plan), it) }
        val toRegion = if (plan.elsewhere < 1) plan.toRegion / (1 - plan.elsewhere) else 0.0
        reasonToLeave(inDomain, nearby, toRegion)?.let { return TargetPick(sampleFrom(nearby, plan), it) }
        return TargetPick(sampleFrom(inDomain, SpillPlan.NONE), PickReason.NEAREST)
    }

    /**
     * Draws whether a request goes to [far], by the plan and, with less effect, by the load in reports. Returns the
     * reason, or null if it goes to [near].
     */
    private fun reasonToLeave(near: List<SpreadOption>, far: List<SpreadOption>, planned: Double): PickReason? {
        if (near.isEmpty()) return PickReason.NEARER_UNAVAILABLE
        if (far.isEmpty()) return null
        val excess = (loadOf(near) ?: 0.0) - (loadOf(far) ?: 0.0) - MIN_EXCESS_LOAD
        val spill = planned + (excess * EXCESS_LOAD_GAIN).coerceIn(0.0, MAX_EXCESS_SPILL)
        if (spill <= 0) return null
        val drawn = random.nextDouble()
        return when {
            drawn < planned -> PickReason.PLANNED_SPILL
            drawn < spill -> PickReason.SHORTER_QUEUE
            else -> null
        }
    }

    private fun sampleFrom(options: List<SpreadOption>, plan: SpillPlan): KnownTarget {
        val meanLoad = loadOf(options)
        val weights = DoubleArray(options.size) {
            weightOf(options[it], meanLoad) * plan.roomShareOf(options[it].target.entry.failureDomain)
        }
        val sample = List(minOf(SAMPLE_SIZE, options.size)) { options[draw(weights)] }
        return sample.minBy { (it.outstanding + 1) / it.capacity }.target
    }

    private fun weightOf(option: SpreadOption, meanLoad: Double?): Double {
        if (option.queue == null || meanLoad == null) return option.capacity
        val load = option.queue / option.capacity
        val relative = (meanLoad + LOAD_OFFSET) / (load + LOAD_OFFSET)
        return option.capacity * relative.pow(LOAD_EXPONENT).coerceIn(MIN_LOAD_FACTOR, MAX_LOAD_FACTOR)
    }

    private fun draw(weights: DoubleArray): Int {
        var remaining = random.nextDouble() * weights.sum()
        for (index in weights.indices) {
            remaining -= weights[index]
            if (remaining < 0) return index
        }
        return weights.lastIndex
    }

    /** Time to finish the queues of [options] together, in mean run times; null if nothing is known. */
    private fun loadOf(options: List<SpreadOption>): Double? {
        var queue = 0.0
        var capacity = 0.0
        for (option in options) {
            if (option.queue == null) continue
            queue += option.queue
            capacity += option.capacity
        }
        return if (capacity > 0) queue / capacity else null
    }

    private companion object {
        const val SAMPLE_SIZE = 2

        /** Load beyond that of farther targets from which reported queues move requests there. */
        const val MIN_EXCESS_LOAD = 0.5

        /** A queue grows by several mean run times a second; with a gain of 0.5 the load of domains oscillated. */
        const val EXCESS_LOAD_GAIN = 0.05
        const val MAX_EXCESS_SPILL = 0.5

        /** Exponent of the odds; reports lag by seconds, and greater ones oscillate. */
        const val LOAD_EXPONENT = 1.5
        const val MIN_LOAD_FACTOR = 0.1
        const val MAX_LOAD_FACTOR = 2.5

        /** Keeps ratios of loads near 0 from changing the odds. */
        const val LOAD_OFFSET = 0.2
    }
}
