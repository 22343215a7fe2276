package kingcuptide.coordination.version

/** The ranges that the values of a document may have, ends included. */
public object DocumentRanges {
    /** Requests that a target runs at the same time. */
    public val SLOTS: IntRange = 1..10_000

    /** Connections to a target. */
    public val MAX_CONNECTIONS: IntRange = 1..100_000

    /** Time until a cold target bears all its slots. */
    public val COLD_START_MS: LongRange = 0L..3_600_000L

    /** Requests that wait for a slot at a target. */
    public val QUEUE_LENGTH: IntRange = 0..10_000

    /** Time that a request may take in all. */
    public val TIMEOUT_MS: LongRange = 1L..600_000L

    /** Size of a request's body. */
    public val MAX_BODY_BYTES: LongRange = 0L..1_073_741_824L

    /** Further attempts after the first one. */
    public val MAX_RETRIES: IntRange = 0..5

    /** Retries as a share of requests. */
    public val PERCENT: IntRange = 0..100

    /** Characters of a path prefix. */
    public val PATH_PREFIX_LENGTH: IntRange = 1..1_024

    /** Time for which a request that crashes targets is refused. */
    public val QUARANTINE_MS: LongRange = 1_000L..86_400_000L
}
