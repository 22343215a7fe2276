package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * An attempt at one host that ended without a response.
 *
 * @property outcome whether the request may have run; never more favourable than the code allows
 * @property retryAfter retry delay that the gate sent, or null if no gate sent one
 */
public data class FailedAttempt(
    val host: HostId,
    val code: ResultCode,
    val outcome: Outcome,
    val retryAfter: Duration? = null,
)

/**
 * Input of a retry decision.
 *
 * @property tried hosts of the attempts so far, in order
 * @property suspect whether this daemon suspected the request of crashing targets before the attempt
 * @property mayHaveRun whether an earlier attempt had an unknown outcome, so that no later refusal means "not run"
 */
public data class RetryContext(
    val idempotent: Boolean,
    val level: CallLevel,
    val tried: List<HostId>,
    val mayHaveRun: Boolean,
    val maxRetries: Int,
    val retryBudgetPercent: Int,
    val remaining: Duration,
    val suspect: Boolean = false,
)

/** Why a request is not retried. */
public enum class GiveUpReason {
    /** Another target would give the same result, or might crash as well. */
    FINAL,

    /** The request may have run, and must not run twice. */
    MAY_HAVE_RUN,

    /** The request may have run, and an outer call or the caller decides whether to retry it. */
    NOT_THIS_LEVEL,

    /** The route allows no further attempt. */
    ATTEMPTS_SPENT,

    /** The retry budget of the route is exhausted. */
    BUDGET_SPENT,

    /** Not enough time remains until the deadline. */
    NO_TIME,
}

/** What to do after a failed attempt. */
public sealed interface RetryDecision {
    /** Retry immediately at a host that is not in [excludeHosts]. */
    public data class Retry(
        val excludeHosts: Set<HostId>,
    ) : RetryDecision

    /** Return the failure to the caller immediately. */
    public data class GiveUp(
        val reason: GiveUpReason,
        val code: ResultCode,
        val outcome: Outcome,
        val retryAfter: Duration,
    ) : RetryDecision
}

/**
 * Decides whether a request is retried at another host.
 *
 * A request that did not run may be retried at any level, because a refused attempt costs a hop and no work. One that
 * may have run is retried only if it is idempotent and this is the outermost call, so that attempts do not multiply
 * along a chain of calls. The budget is checked last, so that a retry forbidden for another reason does not use it up.
 */
public fun decideRetry(
    failed: FailedAttempt,
    state: RetryContext,
    budget: RetryBudget,
    random: Random,
    counters: RequestCounters = RequestCounters.NONE,
): RetryDecision {
    val reason = reasonToGiveUp(failed, state, budget)
    if (reason == null) {
        counters.retried(failed.code)
        return RetryDecision.Retry(state.tried.toSet() + failed.host)
    }
    counters.gaveUp(reason, failed.code)
    return RetryDecision.GiveUp(
        reason = reason,
        code = codeAfterEarlierAttempts(codeOnGiveUp(reason, failed.code), state.mayHaveRun),
        outcome = if (state.mayHaveRun) Outcome.UNKNOWN else failed.outcome,
        retryAfter = failed.retryAfter ?: retryAfter(DEFAULT_RETRY_AFTER, random),
    )
}

/** Returns [code], or [ResultCode.ANSWER_LOST] if [code] means "not run" but an earlier attempt may have run. */
public fun codeAfterEarlierAttempts(code: ResultCode, mayHaveRun: Boolean): ResultCode =
    if (mayHaveRun && code.outcome == Outcome.NOT_RUN) ResultCode.ANSWER_LOST else code

private fun reasonToGiveUp(failed: FailedAttempt, state: RetryContext, budget: RetryBudget): GiveUpReason? {
    if (failed.outcome == Outcome.UNKNOWN) {
        if (!state.idempotent) return GiveUpReason.MAY_HAVE_RUN
        if (failed.code !in RETRYABLE_AFTER_UNKNOWN) return GiveUpReason.FINAL
        if (state.level == CallLevel.NESTED) return GiveUpReason.NOT_THIS_LEVEL
        val crashedAgain = failed.code == ResultCode.TARGET_DIED && (state.mayHaveRun || state.suspect)
        if (crashedAgain) return GiveUpReason.FINAL
    } else if (!failed.code.retryable) {
        return GiveUpReason.FINAL
    }
    val attempts = (state.tried + failed.host).toSet().size
    if (attempts > state.maxRetries) return GiveUpReason.ATTEMPTS_SPENT
    if (state.remaining < MIN_REMAINING_TIME) return GiveUpReason.NO_TIME
    if (!budget.tryRetry(state.retryBudgetPercent)) return GiveUpReason.BUDGET_SPENT
    return null
}

/** Returns RETRY_BUDGET_SPENT for a refusal that only the budget kept from a retry, and [code] otherwise. */
private fun codeOnGiveUp(reason: GiveUpReason, code: ResultCode): ResultCode {
    val budgetSpent = reason == GiveUpReason.BUDGET_SPENT && code.outcome == Outcome.NOT_RUN
    return if (budgetSpent) ResultCode.RETRY_BUDGET_SPENT else code
}

/** Codes of attempts that may have run and could succeed at another target. */
private val RETRYABLE_AFTER_UNKNOWN =
    setOf(ResultCode.ANSWER_LOST, ResultCode.TARGET_DIED, ResultCode.TARGET_OVERLOADED)
private val MIN_REMAINING_TIME = 5.milliseconds
private val DEFAULT_RETRY_AFTER = 2.seconds
