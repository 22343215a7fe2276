package kingcuptide.coordination.request.quota

/** A message about quotas between a host and the lender from which it gets tokens. */
public sealed interface QuotaMessage {
    /**
     * Asks the receiver for tokens, returns others, and delegates the sender's weight for a lease.
     *
     * @property number identifies the message among those that the sender has in flight; a repeated one gets the same reply
     * @property stamp latest [Grant.stamp] of the receiver, from which the lease of [weight] counts; 0 for no delegation
     * @property weight hosts whose share of every quota the receiver may spend until the lease ends, or [RELEASED]
     * @property isDomainLender whether the sender lends to other hosts, so that the receiver acts as the root lender
     * @property isUrgent whether requests wait for the tokens
     * @property keys workspaces, by [quotaKey]
     * @property wanted tokens that are asked for, by position in [keys]
     * @property returned unused tokens that the sender gives back, by position in [keys]; empty if none
     */
    public data class Ask(
        val number: Int,
        val stamp: Int,
        val weight: Int,
        val isDomainLender: Boolean,
        val isUrgent: Boolean,
        val keys: List<Int>,
        val wanted: List<Int>,
        val returned: List<Int>,
    ) : QuotaMessage {
        /** Whether the lists fit together and no number is out of range. */
        public fun isValid(): Boolean =
            keys.size <= MAX_LISTED_WORKSPACES &&
                wanted.size == keys.size &&
                (returned.isEmpty() || returned.size == keys.size) &&
                wanted.all { it in 0..MAX_LISTED_TOKENS } &&
                returned.all { it in 0..MAX_LISTED_TOKENS } &&
                weight in RELEASED..QuotaWeights.MAX_CHILDREN
    }

    /**
     * Answers an [Ask].
     *
     * @property stamp time of the sender in milliseconds since an arbitrary origin, for the next lease; 0 if not due
     * @property granted tokens by position in the keys of the ask
     * @property roomInMs times until there is room, by position in the keys of the ask, 0 where all was granted; empty if
     * all was granted
     */
    public data class Grant(
        val number: Int,
        val stamp: Int,
        val granted: List<Int>,
        val roomInMs: List<Int>,
    ) : QuotaMessage

    public companion object {
        /**
         * Weight of a message that withdraws the weight of its sender. It is answered once neither the receiver nor its
         * lender counts the weight; a receiver that does not know the value does not answer, and the lease ends.
         */
        public const val RELEASED: Int = -1

        /** Largest number of workspaces in one message; further ones follow in the next. */
        public const val MAX_LISTED_WORKSPACES: Int = 1_024

        /** Largest number of tokens of one workspace in one message. */
        public const val MAX_LISTED_TOKENS: Int = 100_000
    }
}
