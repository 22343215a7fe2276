package kingcuptide.bench.requests

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.CallLevel
import kingcuptide.coordination.request.FailedAttempt
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.RetryBudget
import kingcuptide.coordination.request.RetryContext
import kingcuptide.coordination.request.RetryDecision
import kingcuptide.coordination.request.decideRetry
import kingcuptide.coordination.request.retryBudget
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs of the deepest service of a chain, caused by calls at its top.
 *
 * @property stoppedAt number of runs at which the measurement was stopped; null if all calls were made
 */
data class ChainResult(
    val calls: Int,
    val leafRuns: Long,
    val stoppedAt: Long?,
) {
    /** Mean number of runs of the deepest service for one call. */
    val leafRunsPerCall: Double get() = leafRuns.toDouble() / calls
}

/**
 * Calls through a chain of services, each of which waits for the next; every response of the deepest one is lost.
 *
 * Each level fails if the one below it fails, so retries at every level multiply. A run stops at [MAX_LEAF_RUNS].
 */
class ChainRun(
    private val depth: Int,
    seed: Long,
    private val plain: Boolean,
) {
    private val time = VirtualTime()
    private val random = Random(seed)
    private val budgets = List(depth) { retryBudget(time) }
    private var leafRuns = 0L

    /** Makes [calls] calls at the top. */
    fun run(calls: Int): ChainResult {
        var callsMade = 0
        while (callsMade < calls && leafRuns < MAX_LEAF_RUNS) {
            time.runUntil(time.now() + 10.milliseconds)
            call(level = 0)
            callsMade++
        }
        return ChainResult(callsMade, leafRuns, MAX_LEAF_RUNS.takeIf { leafRuns >= MAX_LEAF_RUNS })
    }

    private fun call(level: Int) {
        if (leafRuns >= MAX_LEAF_RUNS) return
        val tried = ArrayList<HostId>()
        budgets[level].recordFirstAttempt()
        do {
            if (level == depth - 1) leafRuns++ else call(level + 1)
            tried += HostId("h${tried.size}")
        } while (leafRuns < MAX_LEAF_RUNS && shouldRetry(level, tried, budgets[level]))
    }

    private fun shouldRetry(level: Int, tried: List<HostId>, budget: RetryBudget): Boolean {
        if (plain) return tried.size <= PLAIN_RETRIES
        val failed = FailedAttempt(tried.last(), ResultCode.ANSWER_LOST, Outcome.UNKNOWN)
        val state = RetryContext(
            idempotent = true,
            level = if (level == 0) CallLevel.OUTERMOST else CallLevel.NESTED,
            tried = tried,
            mayHaveRun = tried.size > 1,
            maxRetries = 2,
            retryBudgetPercent = 20,
            remaining = 1.seconds,
        )
        return decideRetry(failed, state, budget, random) is RetryDecision.Retry
    }

    companion object {
        /** Runs of the deepest service at which a measurement stops. */
        const val MAX_LEAF_RUNS = 1_000_000L
        private const val PLAIN_RETRIES = 3
    }
}
