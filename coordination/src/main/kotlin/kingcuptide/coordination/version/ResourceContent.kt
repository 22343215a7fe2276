package kingcuptide.coordination.version

import kotlinx.serialization.Serializable

/**
 * One immutable version of a resource in canonical form: a JSON text for each entry key, sorted by key.
 *
 * Deltas and digests are computed on this form, so they need no knowledge of documents or host lists.
 */
public class ResourceContent private constructor(
    public val kind: ResourceKind,
    public val entries: Map<String, String>,
    public val version: ResourceVersion,
) {
    public companion object {
        /** Builds the content [number] of [kind]; the digest covers kind, number and all [entries]. */
        public fun of(kind: ResourceKind, number: Long, entries: Map<String, String>): ResourceContent {
            val sorted = entries.toSortedMap()
            val parts =
                sequenceOf(kind.name, number.toString()) + sorted.asSequence().flatMap { sequenceOf(it.key, it.value) }
            return ResourceContent(kind, sorted, ResourceVersion(number, digestOf(parts)))
        }
    }
}

/** The changes from the content [base] to the content [target]. */
@Serializable
public data class ResourceDelta(
    val kind: ResourceKind,
    val base: ResourceVersion,
    val target: ResourceVersion,
    val put: Map<String, String>,
    val removed: Set<String>,
)

/** Returns the delta from this content to [target]. */
public fun ResourceContent.deltaTo(target: ResourceContent): ResourceDelta =
    ResourceDelta(
        kind = kind,
        base = version,
        target = target.version,
        put = target.entries.filter { (key, value) -> entries[key] != value },
        removed = entries.keys - target.entries.keys,
    )
