package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kingcuptide.coordination.process.ResultCode
import java.util.concurrent.atomic.AtomicReference

/** One reason why a content is invalid. */
public data class ResourceFault(
    val code: ResultCode,
    val detail: String,
)

/** A version in force, with the decoded [value] that requests use. Immutable. */
public data class InForce<T>(
    val version: ResourceVersion,
    val content: ResourceContent,
    val value: T,
)

/** A version that was rejected, as it is shown to operators. */
public data class RejectedVersion(
    val version: ResourceVersion,
    val faults: List<ResourceFault>,
)

/**
 * Holds the version of one resource that is in force.
 *
 * [current] and [rejected] may be read from any thread without a lock: a version becomes visible in one reference swap.
 * The other functions belong to the coroutine that drives the distribution.
 */
public class VersionHolder<T> internal constructor(
    private val validate: (ResourceContent) -> Result<T, List<ResourceFault>>,
) {
    private val reference = AtomicReference<InForce<T>?>(null)

    /** The version in force, or null before the first one. */
    public val current: InForce<T>?
        get() = reference.get()

    /** The last versions that were rejected, newest last; at most [MAX_REJECTED]. */
    @Volatile
    public var rejected: List<RejectedVersion> = emptyList()
        private set

    internal fun isRejected(version: ResourceVersion): Boolean = rejected.any { it.version == version }

    /** Validates [content] without putting it in force. The version of an invalid content is added to [rejected]. */
    internal fun check(content: ResourceContent): Result<InForce<T>, ResultCode> {
        rejected.find { it.version == content.version }?.let { return Err(it.faults.firstCode()) }
        refusal(content.version)?.let { return refuse(content, it) }
        return validate(content).fold(
            success = { Ok(InForce(content.version, content, it)) },
            failure = { faults ->
                reject(content.version, faults)
                Err(faults.firstCode())
            },
        )
    }

    /** Puts [checked] in force, unless its number is not above the one in force. */
    internal fun swap(checked: InForce<T>): Result<InForce<T>, ResultCode> {
        refusal(checked.version)?.let { return Err(it) }
        reference.set(checked)
        return Ok(checked)
    }

    private fun refuse(content: ResourceContent, code: ResultCode): Result<InForce<T>, ResultCode> {
        if (code == ResultCode.VERSION_CONFLICT) {
            reject(content.version, listOf(ResourceFault(code, "other digest in force: ${current?.version?.digest}")))
        }
        return Err(code)
    }

    private fun refusal(version: ResourceVersion): ResultCode? {
        val inForce = current?.version ?: return null
        return when {
            version.number < inForce.number -> ResultCode.VERSION_FELL
            version.number == inForce.number && version != inForce -> ResultCode.VERSION_CONFLICT
            else -> null
        }
    }

    private fun reject(version: ResourceVersion, faults: List<ResourceFault>) {
        rejected = (rejected + RejectedVersion(version, faults.take(MAX_FAULTS_PER_VERSION))).takeLast(MAX_REJECTED)
    }

    private fun List<ResourceFault>.firstCode(): ResultCode = firstOrNull()?.code ?: ResultCode.DOCUMENT_UNREADABLE

    public companion object {
        /** Number of rejected versions that are kept. */
        public const val MAX_REJECTED: Int = 16
        private const val MAX_FAULTS_PER_VERSION = 20
    }
}
