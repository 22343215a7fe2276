package kingcuptide.coordination.request

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RetryDecisionTest {
    private val clock = ManualClock()
    private val budget = retryBudget(clock)
    private val host = HostId("h1")

    @Nested
    inner class `Whether to retry` {
        @Test
        fun `Given each code, when the request is not idempotent, then it is retried only if it did not run`() {
            for (code in ResultCode.entries.filter { it.outcome != null }) {
                val decision = decide(code, idempotent = false)
                if (decision is RetryDecision.Retry) expectThat(code.outcome).isEqualTo(Outcome.NOT_RUN)
            }
        }

        @Test
        fun `Given a lost response, when the request is idempotent, then it is retried at another host`() {
            expectThat(decide(ResultCode.ANSWER_LOST, idempotent = true))
                .isEqualTo(RetryDecision.Retry(setOf(host)))
        }

        @Test
        fun `Given a lost response, when the call is nested, then the outer call decides`() {
            val decision = decide(ResultCode.ANSWER_LOST, idempotent = true, level = CallLevel.NESTED)
            expectThat(reason(decision)).isEqualTo(GiveUpReason.NOT_THIS_LEVEL)
        }

        @Test
        fun `Given a refusal, when the call is nested, then it is retried at another host`() {
            val decision = decide(ResultCode.TARGET_FULL, idempotent = false, level = CallLevel.NESTED)
            expectThat(decision).isA<RetryDecision.Retry>()
        }

        @Test
        fun `Given a request that may have run before, when a target crashes with it, then it is not retried again`() {
            val failed = FailedAttempt(host, ResultCode.TARGET_DIED, Outcome.UNKNOWN)
            val decision = decideRetry(failed, state(idempotent = true, mayHaveRun = true), budget, Random(1))
            expectThat(reason(decision)).isEqualTo(GiveUpReason.FINAL)
        }

        @Test
        fun `Given a passed deadline, when the request is idempotent, then it is not retried`() {
            val decision = decide(ResultCode.DEADLINE_PASSED_RUNNING, idempotent = true)
            expectThat(reason(decision)).isEqualTo(GiveUpReason.FINAL)
        }

        @Test
        fun `Given all attempts of the route are used, when one more fails, then it is not retried`() {
            val decision = decide(ResultCode.TARGET_FULL, idempotent = true, tried = List(3) { HostId("h$it") })
            expectThat(reason(decision)).isEqualTo(GiveUpReason.ATTEMPTS_SPENT)
        }

        @Test
        fun `Given too little remaining time, when an attempt fails, then it is not retried`() {
            val decision = decide(ResultCode.TARGET_FULL, idempotent = true, remaining = 1.milliseconds)
            expectThat(reason(decision)).isEqualTo(GiveUpReason.NO_TIME)
        }
    }

    @Nested
    inner class `Final decision` {
        @Test
        fun `Given a retry delay from the gate, when giving up, then the caller gets it`() {
            val failed = FailedAttempt(host, ResultCode.QUARANTINED, Outcome.NOT_RUN, retryAfter = 17.seconds)
            val decision = decideRetry(failed, state(idempotent = true), budget, Random(1))
            expectThat((decision as RetryDecision.GiveUp).retryAfter).isEqualTo(17.seconds)
        }

        @Test
        fun `Given no retry delay from the gate, when giving up, then the caller gets one within the bounds`() {
            val decision = decide(ResultCode.NO_TARGET, idempotent = true) as RetryDecision.GiveUp
            expectThat(decision.retryAfter).isIn(RETRY_AFTER_RANGE)
        }

        @Test
        fun `Given an exhausted budget, when an attempt that did not run fails, then the code is RETRY_BUDGET_SPENT`() {
            while (budget.tryRetry(percent = 0)) Unit
            val decision = decide(ResultCode.TARGET_FULL, idempotent = true) as RetryDecision.GiveUp
            expectThat(decision.code).isEqualTo(ResultCode.RETRY_BUDGET_SPENT)
        }

        @Test
        fun `Given an exhausted budget, when an attempt that may have run fails, then the outcome is unknown`() {
            while (budget.tryRetry(percent = 0)) Unit
            val decision = decide(ResultCode.ANSWER_LOST, idempotent = true) as RetryDecision.GiveUp
            expectThat(decision.outcome).isEqualTo(Outcome.UNKNOWN)
            expectThat(decision.code).isEqualTo(ResultCode.ANSWER_LOST)
        }
    }

    @Nested
    inner class `Outcome of all attempts` {
        @Test
        fun `Given an earlier attempt that may have run, when a later one is refused, then the outcome is unknown`() {
            val failed = FailedAttempt(host, ResultCode.QUARANTINED, Outcome.NOT_RUN)
            val state = state(idempotent = true, mayHaveRun = true)
            val decision = decideRetry(failed, state, budget, Random(1)) as RetryDecision.GiveUp
            expectThat(decision.outcome).isEqualTo(Outcome.UNKNOWN)
            expectThat(decision.code.outcome).isEqualTo(Outcome.UNKNOWN)
        }
    }

    @Nested
    inner class `Budget` {
        @Test
        fun `Given many first attempts, when all fail, then retries stay within the percentage`() {
            var retries = 0
            repeat(10_000) {
                clock.advance(1.milliseconds)
                budget.recordFirstAttempt()
                if (budget.tryRetry(percent = 20)) retries++
            }
            expectThat(retries).isLessThanOrEqualTo(2_000 + 40)
        }

        @Test
        fun `Given a forbidden retry, when it is decided, then the budget is unchanged`() {
            repeat(100) { decide(ResultCode.QUARANTINED, idempotent = true) }
            expectThat(budget.tryRetry(percent = 0)).isEqualTo(true)
        }
    }

    @Nested
    inner class `Call level` {
        @Test
        fun `Given headers and origin, when the level is derived, then only a first call from outside is outermost`() {
            expectThat(callLevelOf(null, null, fromFleetHost = false)).isEqualTo(CallLevel.OUTERMOST)
            expectThat(callLevelOf("0", null, fromFleetHost = false)).isEqualTo(CallLevel.OUTERMOST)
            expectThat(callLevelOf("1", null, fromFleetHost = false)).isEqualTo(CallLevel.NESTED)
            expectThat(callLevelOf("x", null, fromFleetHost = false)).isEqualTo(CallLevel.NESTED)
            expectThat(callLevelOf(null, "2", fromFleetHost = false)).isEqualTo(CallLevel.NESTED)
            expectThat(callLevelOf(null, null, fromFleetHost = true)).isEqualTo(CallLevel.NESTED)
        }

        @Test
        fun `Given a depth, when the request is sent to a target, then the depth is one higher`() {
            expectThat(listOf(null, "0", "21", "-5", "x").map { nextDepth(it) }).isEqualTo(listOf(1, 1, 22, 1, 1))
        }
    }

    private fun decide(
        code: ResultCode,
        idempotent: Boolean,
        level: CallLevel = CallLevel.OUTERMOST,
        tried: List<HostId> = listOf(host),
        remaining: Duration = 1.seconds,
    ): RetryDecision {
        val failed = FailedAttempt(host, code, code.outcome ?: Outcome.UNKNOWN)
        return decideRetry(failed, state(idempotent, level, tried, remaining), budget, Random(1))
    }

    private fun state(
        idempotent: Boolean,
        level: CallLevel = CallLevel.OUTERMOST,
        tried: List<HostId> = listOf(host),
        remaining: Duration = 1.seconds,
        mayHaveRun: Boolean = false,
    ) = RetryContext(
        idempotent,
        level,
        tried,
        mayHaveRun,
        maxRetries = 2,
        retryBudgetPercent = 20,
        remaining = remaining,
    )

    private fun reason(decision: RetryDecision): GiveUpReason = (decision as RetryDecision.GiveUp).reason
}
