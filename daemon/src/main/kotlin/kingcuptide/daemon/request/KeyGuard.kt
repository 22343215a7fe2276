package kingcuptide.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kingcuptide.coordination.connection.ClaimId
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.HomeRegions
import kingcuptide.coordination.request.KeyClaimer
import kingcuptide.coordination.request.KeyDecision
import kingcuptide.coordination.request.KeyedRequest
import kingcuptide.coordination.request.TargetResult
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs a request with an idempotency key only while the claim of its key is granted. */
class KeyGuard(
    private val claimer: KeyClaimer,
    private val send: (List<Outbound>) -> Unit,
) {
    /** Calls [run] if the claim of the key of [head] is granted or not needed; otherwise returns the refusal. */
    suspend fun guard(
        head: RequestHead,
        home: HomeRegions,
        deadline: Duration,
        run: suspend () -> TargetRun,
    ): Result<TargetRun, KeyRefused> {
        val keyHash = head.keyHash?.takeUnless { head.idempotent } ?: return Ok(run())
        return when (val decision = claim(KeyedRequest(keyHash, home.toRegions(), deadline))) {
            is KeyDecision.Granted -> runWithClaim(decision.claim, run)
            is KeyDecision.Refused -> Err(KeyRefused(decision.code, decision.retryAfterMs.milliseconds))
        }
    }

    private suspend fun claim(request: KeyedRequest): KeyDecision {
        val decided = CompletableDeferred<KeyDecision>()
        send(claimer.start(request) { decided.complete(it) })
        return try {
            decided.await()
        } catch (exception: CancellationException) {
            withContext(NonCancellable) { releaseGranted(decided.await()) }
            throw exception
        }
    }

    /** Releases a key that was granted after its request was cancelled. */
    private fun releaseGranted(decision: KeyDecision) {
        if (decision is KeyDecision.Granted) send(claimer.release(decision.claim))
    }

    private suspend fun runWithClaim(claim: ClaimId, run: suspend () -> TargetRun): Result<TargetRun, KeyRefused> {
        claimer.begin(claim).getOrElse {
            send(claimer.release(claim))
            return Err(KeyRefused(it, Duration.ZERO))
        }
        var finishedRun: TargetRun? = null
        try {
            finishedRun = run()
            return Ok(finishedRun)
        } finally {
            settleClaim(claim, finishedRun)
        }
    }

    private fun settleClaim(claim: ClaimId, finishedRun: TargetRun?) {
        val result = finishedRun?.result
        when {
            result is TargetResult.Answered -> send(claimer.complete(claim, result.status))
            finishedRun != null && !finishedRun.mayHaveRun -> send(claimer.release(claim))
            else -> claimer.abandon(claim)
        }
    }
}

/** Result of forwarding to the target; [mayHaveRun] is false only if certainly no byte reached the target. */
data class TargetRun(
    val result: TargetResult,
    val mayHaveRun: Boolean,
)

/** Refusal of a request because its idempotency key was not granted. */
data class KeyRefused(
    val code: ResultCode,
    val retryAfter: Duration,
)

private fun HomeRegions.toRegions() =
    when (this) {
        HomeRegions.Anywhere -> emptySet()
        is HomeRegions.Only -> regions
    }
