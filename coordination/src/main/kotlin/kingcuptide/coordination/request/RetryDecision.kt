package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How an attempt at one host ended without an answer.
 *
 * @property outcome what is known of the request; never better than the code allows
 * @property retryAfter what the gate said, or null if no gate said anything
 */
public data class FailedAttempt(
    val host: HostId,
    val code: ResultCode,
    val outcome: Outcome,
    val retryAfter: Duration? = null,
)

/**
 * What a retry decision needs to know of the request.
 *
 * @property tried hosts of the attempts so far, in order
 * @property suspect whether this daemon held something against the request before the attempt
 * @property mayHaveRun whether an earlier attempt ended as unknown, so that no later refusal can say "not run"
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

/** Why a request is not tried again. */
public enum class GiveUpReason {
    /** Another target would answer the same, or might die as well. */
    FINAL,

    /** It may have run, and must not run twice. */
    MAY_HAVE_RUN,

    /** It may have run, and an outer call or the caller decides whether to repeat it. */
    NOT_THIS_LEVEL,

    /** The route allows no further attempt. */
    ATTEMPTS_SPENT,

    /** The retry budget of the route is spent. */
    BUDGET_SPENT,

    /** The deadline is too near. */
    NO_TIME,
}

/** What to do after a failed attempt. */
public sealed interface RetryDecision {
    /** Try another host, none of [excludeHosts], at once. */
    public data class Retry(
        val excludeHosts: Set<HostId>,
    ) : RetryDecision

    /** Answer the caller at once. */
    public data class GiveUp(
        val reason: GiveUpReason,
        val code: ResultCode,
        val outcome: Outcome,
        val retryAfter: Duration,
    ) : RetryDecision
}

/**
 * Decides whether a request is tried at another host.
 *
 * A request that did not run may be tried again at any level, since a refused attempt costs a hop and no work. One that
 * may have run is tried again only if it is repeatable and this is the outermost call, so that attempts never multiply
 * down a chain of calls. The budget is asked last, so that a retry forbidden anyway takes nothing from it.
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
        code = codeAfterEarlierAttempts(finalCode(reason, failed.code), state.mayHaveRun),
        outcome = if (state.mayHaveRun) Outcome.UNKNOWN else failed.outcome,
        retryAfter = failed.retryAfter ?: retryAfter(DEFAULT_RETRY_AFTER, random),
    )
}

/** Returns [code], or one that says that the request may have run if an earlier attempt may have. */
public fun codeAfterEarlierAttempts(code: ResultCode, mayHaveRun: Boolean): ResultCode =
    if (mayHaveRun && code.outcome == Outcome.NOT_RUN) ResultCode.ANSWER_LOST else code

private fun reasonToGiveUp(failed: FailedAttempt, state: RetryContext, budget: RetryBudget): GiveUpReason? {
    if (failed.outcome == Outcome.UNKNOWN) {
        if (!state.idempotent) return GiveUpReason.MAY_HAVE_RUN
        if (failed.code !in REPEATABLE_AFTER_UNKNOWN) return GiveUpReason.FINAL
        if (state.level == CallLevel.NESTED) return GiveUpReason.NOT_THIS_LEVEL
        val diedAgain = failed.code == ResultCode.TARGET_DIED && (state.mayHaveRun || state.suspect)
        if (diedAgain) return GiveUpReason.FINAL
    } else if (!failed.code.retryable) {
        return GiveUpReason.FINAL
    }
    val attempts = (state.tried + failed.host).toSet().size
    if (attempts > state.maxRetries) return GiveUpReason.ATTEMPTS_SPENT
    if (state.remaining < MIN_TIME_FOR_ATTEMPT) return GiveUpReason.NO_TIME
    if (!budget.tryRetry(state.retryBudgetPercent)) return GiveUpReason.BUDGET_SPENT
    return null
}

/** A refusal that only the budget kept from another attempt says so; all others keep their own code. */
private fun finalCode(reason: GiveUpReason, code: ResultCode): ResultCode {
    val budgetSpent = reason == GiveUpReason.BUDGET_SPENT && code.outcome == Outcome.NOT_RUN
    return if (budgetSpent) ResultCode.RETRY_BUDGET_SPENT else code
}

/** Codes of attempts that may have run and would end otherwise at another target. */
private val REPEATABLE_AFTER_UNKNOWN =
    setOf(ResultCode.ANSWER_LOST, ResultCode.TARGET_DIED, ResultCode.TARGET_OVERLOADED)
private val MIN_TIME_FOR_ATTEMPT = 5.milliseconds
private val DEFAULT_RETRY_AFTER = 2.seconds
