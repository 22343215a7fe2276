package kingcuptide.coordination.version

/** What stays in a copy of the source although the source, which came back from an older copy, has lost it. */
public interface RestoreRules {
    /**
     * Returns the rank of an item that never goes back to a lower one, such as the version of a document, whatever the
     * revision; null for any other item.
     */
    public fun rankOf(item: SourceItem): Long?

    /** Whether [item] stays for some time, in which it is written again or not. */
    public fun isHeld(item: SourceItem): Boolean

    public companion object {
        /** Nothing stays. */
        public val NONE: RestoreRules = object : RestoreRules {
            override fun rankOf(item: SourceItem): Long? = null

            override fun isHeld(item: SourceItem): Boolean = false
        }
    }
}
