package kingcuptide.coordination.version

/**
 * Order-independent hash of a set of keyed values, kept up to date by each change.
 *
 * Each term is mixed over all its bits (the finalizer of SplitMix64), so that opposite changes of two values do not
 * cancel each other out in the sum. Confined to one thread.
 */
internal class StateDigest {
    private val terms = HashMap<String, Long>()

    var value: Long = 0
        private set

    /** Replaces the value of [key] by [fields]. */
    fun set(key: String, vararg fields: Any) {
        val term = fields.fold(mix(key.hashCode().toLong())) { hash, field -> mix(hash * PRIME + field.hashCode()) }
        value += term - (terms.put(key, term) ?: 0)
    }

    /** Removes [key]. */
    fun remove(key: String) {
        value -= terms.remove(key) ?: 0
    }

    private fun mix(value: Long): Long {
        var mixed = value + INCREMENT
        mixed = (mixed xor (mixed ushr 30)) * FIRST_FACTOR
        mixed = (mixed xor (mixed ushr 27)) * SECOND_FACTOR
        return mixed xor (mixed ushr 31)
    }

    private companion object {
        const val PRIME = 31L
        const val INCREMENT = -0x61c8864680b583ebL
        const val FIRST_FACTOR = -0x40a7b892e31b1a47L
        const val SECOND_FACTOR = -0x6b2fb644ecceee15L
    }
}
