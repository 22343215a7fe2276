package kingcuptide.coordination.version

import kotlinx.serialization.Serializable

/** Identifies one immutable version of a resource. Equal [number]s with different digests are a conflict. */
@Serializable
public data class ResourceVersion(
    val number: Long,
    val digest: Digest,
)
