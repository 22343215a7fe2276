package kingcuptide.daemon.version

import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.ResourceKind
import kotlin.time.Duration

/** The platform's configuration service. It can be read and watched, never written. Each call counts as one. */
interface Platform {
    /** Reads the present value of [kind] as JSON text. */
    suspend fun read(kind: ResourceKind): Result<String, ResultCode>

    /** Waits until [kind] has a number above [after]; null if none came within [wait]. */
    suspend fun watch(kind: ResourceKind, after: Long, wait: Duration): Result<String?, ResultCode>
}
