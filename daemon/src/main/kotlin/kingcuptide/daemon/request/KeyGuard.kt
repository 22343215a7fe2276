package kingcuptide.daemon.request

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.HomeRegions
import kingcuptide.coordination.request.TargetResult
import kotlin.time.Duration

/** Lets a request with an idempotency key run only while its key is claimed for it. */
interface KeyGuard {
    /** Runs [run] if the key of [head] is granted, or if it needs no grant; otherwise says why not. */
    suspend fun guard(
        head: RequestHead,
        home: HomeRegions,
        deadline: Duration,
        run: suspend () -> TargetResult,
    ): Result<TargetResult, KeyRefusal>
}

/** Why a request with a key must not run. */
data class KeyRefusal(
    val code: ResultCode,
    val retryAfter: Duration,
)

/** Grants everything. */
object UnguardedKeys : KeyGuard {
    override suspend fun guard(
        head: RequestHead,
        home: HomeRegions,
        deadline: Duration,
        run: suspend () -> TargetResult,
    ): Result<TargetResult, KeyRefusal> = Ok(run())
}
