package kingcuptide.coordination.version

import kotlinx.serialization.Serializable

/** Names one immutable version of a resource. Two versions with one [number] and different digests are a conflict. */
@Serializable
public data class ResourceVersion(
    val number: Long,
    val digest: Digest,
)
