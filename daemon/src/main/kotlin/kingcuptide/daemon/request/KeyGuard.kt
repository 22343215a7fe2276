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

/** Lets a request with an idempotency key run only while its key is claimed for it. */
class KeyGuard(
    private val claimer: KeyClaimer,
    private val send: (List<Outbound>) -> Unit,
) {
    /** Runs [run] if the key of [head] is granted, or if it needs no grant; otherwise says why not. */
    suspend fun guard(
        head: RequestHead,
        home: HomeRegions,
        deadline: Duration,
        run: suspend () -> TargetRun,
    ): Result<TargetRun, KeyRefused> {
        val keyHash = head.keyHash?.takeUnless { head.idempotent } ?: return Ok(run())
        return when (val decision = claim(KeyedRequest(keyHash, home.toRegions(), deadline))) {
            is KeyDecision.Granted -> runClaimed(decision.claim, run)
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

    /** A grant that comes after its request was given up frees the key again. */
    private fun releaseGranted(decision: KeyDecision) {
        if (decision is KeyDecision.Granted) send(claimer.release(decision.claim))
    }

    private suspend fun runClaimed(claim: ClaimId, run: suspend () -> TargetRun): Result<TargetRun, KeyRefused> {
        claimer.begin(claim).getOrElse {
            send(claimer.release(claim))
            return Err(KeyRefused(it, Duration.ZERO))
        }
        var ended: TargetRun? = null
        try {
            ended = run()
            return Ok(ended)
        } finally {
            end(claim, ended)
        }
    }

    private fun end(claim: ClaimId, ended: TargetRun?) {
        val result = ended?.result
        when {
            result is TargetResult.Answered -> send(claimer.complete(claim, result.status))
            ended != null && !ended.mayHaveRun -> send(claimer.release(claim))
            else -> claimer.abandon(claim)
        }
    }
}

/** How a run at the target ended; [mayHaveRun] is false only if surely no byte reached the target. */
data class TargetRun(
    val result: TargetResult,
    val mayHaveRun: Boolean,
)

/** Why a request with a key must not run. */
data class KeyRefused(
    val code: ResultCode,
    val retryAfter: Duration,
)

private fun HomeRegions.toRegions() =
    when (this) {
        HomeRegions.Anywhere -> emptySet()
        is HomeRegions.Only -> regions
    }
