package kingcuptide.coordination.version

/**
 * All items under one key prefix as of a revision, without the values that the receiver has already.
 *
 * @property base revision up to which the receiver must be complete; 0 if the listing needs no base
 * @property asOf revision up to which a receiver is complete once it has applied the listing
 * @property items items that changed after [base]; any with a later revision than [asOf] are not complete up to theirs
 * @property unchangedKeys keys of all other items that exist
 */
public class SectionListing(
    public val base: Long,
    public val asOf: Long,
    public val items: List<SourceItem>,
    public val unchangedKeys: Collection<String>,
)
