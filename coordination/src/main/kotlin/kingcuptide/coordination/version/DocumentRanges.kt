package kingcuptide.coordination.version

/** Allowed ranges of the values of a document, both ends included. */
public object DocumentRanges {
    /** Requests that a target executes at the same time. */
    public val SLOTS: IntRange = 1..10_000

    /** Connections to a target. */
    public val MAX_CONNECTIONS: IntRange = 1..100_000

    /** Time until a cold target has all its slots, in milliseconds. */
    public val COLD_START_MS: LongRange = 0L..3_600_000L

    /** Requests that wait for a slot at a target. */
    public val QUEUE_LENGTH: IntRange = 0..10_000

    /** Total time of a request, in milliseconds. */
    public val TIMEOUT_MS: LongRange = 1L..600_000L

    /** Size of a request body, in bytes. */
    public val MAX_BODY_BYTES: LongRange = 0L..1_073_741_824L

    /** Further attempts after the first one. */
    public val MAX_RETRIES: IntRange = 0..5

    /** Retries in percent of requests. */
    public val RETRY_BUDGET_PERCENT: IntRange = 0..100

    /** Length of a path prefix, in characters. */
    public val PATH_PREFIX_LENGTH: IntRange = 1..1_024

    /** Time for which a request that crashes targets is refused, in milliseconds. */
    public val QUARANTINE_MS: LongRange = 1_000L..86_400_000L
}
