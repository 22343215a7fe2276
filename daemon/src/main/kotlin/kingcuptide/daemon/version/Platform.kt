package kingcuptide.daemon.version

import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.ResourceKind
import kotlin.time.Duration

/** The platform's configuration service, read-only. Each read or watch counts as one call of the source budget. */
interface Platform {
    /** Reads the current value of [kind] as JSON text. */
    suspend fun read(kind: ResourceKind): Result<String, ResultCode>

    /** Waits until [kind] has a number above [after]; null if it has none within [wait]. */
    suspend fun watch(kind: ResourceKind, after: Long, wait: Duration): Result<String?, ResultCode>
}
