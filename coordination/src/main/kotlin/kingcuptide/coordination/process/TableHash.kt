package kingcuptide.coordination.process

/**
 * Returns one hash per bucket of members, over their announced states and which of them are dead.
 *
 * Tables with equal hashes have equal contents; otherwise only the buckets that differ are exchanged.
 */
internal fun bucketHashes(members: List<Member>): IntArray {
    val hashes = IntArray(BUCKETS)
    for (member in members) {
        if (!member.isKnown) continue
        hashes[bucketOf(member)] = hashes[bucketOf(member)] xor stateHash(member)
    }
    return hashes
}

internal fun bucketOf(member: Member): Int = member.key and (BUCKETS - 1)

private fun stateHash(member: Member): Int {
    var hash = member.key.toLong()
    hash = hash * MULTIPLIER + member.incarnation
    hash = hash * MULTIPLIER + member.revision
    val bits = (if (member.health == Health.DEAD) 1 else 0) + (if (member.leaving) 2 else 0)
    hash = hash * MULTIPLIER + bits
    hash *= MULTIPLIER
    return (hash xor (hash ushr Int.SIZE_BITS)).toInt()
}

/** Number of buckets; a power of two. */
internal const val BUCKETS: Int = 32

private const val MULTIPLIER = -0x61c8864680b583ebL
