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
    inner class `Whether to try again` {
        @Test
        fun `Given each code, when the request must not be repeated, then only what did not run is tried again`() {
            for (code in ResultCode.entries.filter { it.outcome != null }) {
                val decision = decide(code, idempotent = false)
                if (decision is RetryDecision.Retry) expectThat(code.outcome).isEqualTo(Outcome.NOT_RUN)
            }
        }

        @Test
        fun `Given a lost answer, when the request may be repeated, then it is tried elsewhere`() {
            expectThat(decide(ResultCode.ANSWER_LOST, idempotent = true))
                .isEqualTo(RetryDecision.Retry(setOf(host)))
        }

        @Test
        fun `Given a lost answer, when the call is nested, then an outer one decides`() {
            val decision = decide(ResultCode.ANSWER_LOST, idempotent = true, level = CallLevel.NESTED)
            expectThat(reason(decision)).isEqualTo(GiveUpReason.NOT_THIS_LEVEL)
        }

        @Test
        fun `Given a refusal, when the call is nested, then it is tried elsewhere`() {
            val decision = decide(ResultCode.TARGET_FULL, idempotent = false, level = CallLevel.NESTED)
            expectThat(decision).isA<RetryDecision.Retry>()
        }

        @Test
        fun `Given a request that may have run before, when a target dies with it, then no third one gets it`() {
            val failed = FailedAttempt(host, ResultCode.TARGET_DIED, Outcome.UNKNOWN)
            val decision = decideRetry(failed, state(idempotent = true, mayHaveRun = true), budget, Random(1))
            expectThat(reason(decision)).isEqualTo(GiveUpReason.FINAL)
        }

        @Test
        fun `Given a passed deadline, when the request may be repeated, then the answer is final`() {
            val decision = decide(ResultCode.DEADLINE_PASSED_RUNNING, idempotent = true)
            expectThat(reason(decision)).isEqualTo(GiveUpReason.FINAL)
        }

        @Test
        fun `Given all attempts of the route are used, when one more fails, then the answer is final`() {
            val decision = decide(ResultCode.TARGET_FULL, idempotent = true, tried = List(3) { HostId("h$it") })
            expectThat(reason(decision)).isEqualTo(GiveUpReason.ATTEMPTS_SPENT)
        }

        @Test
        fun `Given hardly any time, when an attempt fails, then the answer is final`() {
            val decision = decide(ResultCode.TARGET_FULL, idempotent = true, remaining = 1.milliseconds)
            expectThat(reason(decision)).isEqualTo(GiveUpReason.NO_TIME)
        }
    }

    @Nested
    inner class `Final answer` {
        @Test
        fun `Given a gate's word on when to come back, when giving up, then the caller gets it`() {
            val failed = FailedAttempt(host, ResultCode.QUARANTINED, Outcome.NOT_RUN, retryAfter = 17.seconds)
            val decision = decideRetry(failed, state(idempotent = true), budget, Random(1))
            expectThat((decision as RetryDecision.GiveUp).retryAfter).isEqualTo(17.seconds)
        }

        @Test
        fun `Given no such word, when giving up, then the caller gets a time within the bounds`() {
            val decision = decide(ResultCode.NO_TARGET, idempotent = true) as RetryDecision.GiveUp
            expectThat(decision.retryAfter).isIn(RETRY_AFTER_RANGE)
        }

        @Test
        fun `Given a spent budget, when an attempt that did not run fails, then the code says so`() {
            while (budget.tryRetry(percent = 0)) Unit
            val decision = decide(ResultCode.TARGET_FULL, idempotent = true) as RetryDecision.GiveUp
            expectThat(decision.code).isEqualTo(ResultCode.RETRY_BUDGET_SPENT)
        }

        @Test
        fun `Given a spent budget, when an attempt that may have run fails, then the answer says unknown`() {
            while (budget.tryRetry(percent = 0)) Unit
            val decision = decide(ResultCode.ANSWER_LOST, idempotent = true) as RetryDecision.GiveUp
            expectThat(decision.outcome).isEqualTo(Outcome.UNKNOWN)
            expectThat(decision.code).isEqualTo(ResultCode.ANSWER_LOST)
        }
    }

    @Nested
    inner class `Truth of the final answer` {
        @Test
        fun `Given an earlier attempt that may have run, when a later one is refused, then the answer says unknown`() {
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
        fun `Given many first attempts, when all fail, then retries stay within the share`() {
            var retries = 0
            repeat(10_000) {
                clock.advance(1.milliseconds)
                budget.recordFirstAttempt()
                if (budget.tryRetry(percent = 20)) retries++
            }
            expectThat(retries).isLessThanOrEqualTo(2_000 + 40)
        }

        @Test
        fun `Given a forbidden retry, when it is decided, then the budget stays`() {
            repeat(100) { decide(ResultCode.QUARANTINED, idempotent = true) }
            expectThat(budget.tryRetry(percent = 0)).isEqualTo(true)
        }
    }

    @Nested
    inner class `Call level` {
        @Test
        fun `Given headers and origin, when the level is asked for, then only a plain outside call is outermost`() {
            expectThat(callLevelOf(null, null, fromFleetHost = false)).isEqualTo(CallLevel.OUTERMOST)
            expectThat(callLevelOf("0", null, fromFleetHost = false)).isEqualTo(CallLevel.OUTERMOST)
            expectThat(callLevelOf("1", null, fromFleetHost = false)).isEqualTo(CallLevel.NESTED)
            expectThat(callLevelOf("x", null, fromFleetHost = false)).isEqualTo(CallLevel.NESTED)
            expectThat(callLevelOf(null, "2", fromFleetHost = false)).isEqualTo(CallLevel.NESTED)
            expectThat(callLevelOf(null, null, fromFleetHost = true)).isEqualTo(CallLevel.NESTED)
        }

        @Test
        fun `Given a depth, when the request goes to a target, then it is one more`() {
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
