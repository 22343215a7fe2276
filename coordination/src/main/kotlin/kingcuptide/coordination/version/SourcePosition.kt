package kingcuptide.coordination.version

/**
 * Position in the history of the source: its era, which rises each time that it comes back from an older copy, and the
 * revision in that era.
 *
 * Revisions go back with each era, so positions order by era first. One number holds both; without eras it equals the
 * revision. All that is called a revision in the published state is such a position.
 */
public object SourcePosition {
    private const val REVISION_BITS = 40

    /** Greatest revision that a position can hold. */
    public const val MAX_REVISION: Long = (1L shl REVISION_BITS) - 1

    /** Greatest era that a position can hold. */
    public const val MAX_ERA: Long = (1L shl (Long.SIZE_BITS - 1 - REVISION_BITS)) - 1

    /** Returns the position of [revision] in [era]; both must be at least 0 and at most their maximum. */
    public fun of(era: Long, revision: Long): Long {
        require(era in 0..MAX_ERA) { "era $era is not in 0..$MAX_ERA" }
        require(revision in 0..MAX_REVISION) { "revision $revision is not in 0..$MAX_REVISION" }
        return (era shl REVISION_BITS) or revision
    }

    /** Returns the era of [position]. */
    public fun eraOf(position: Long): Long = position shr REVISION_BITS

    /** Returns the revision of [position] in its era. */
    public fun revisionOf(position: Long): Long = position and MAX_REVISION
}
