package kingcuptide.coordination.process

/**
 * Orders [hosts] by rendezvous hashing for [key]: every daemon with the same host list gets the same order, and adding
 * or removing a host does not change the order of the others.
 */
public fun rendezvousOrder(key: String, hosts: Collection<HostId>): List<HostId> =
    hosts.sortedWith(compareByDescending<HostId> { rendezvousWeight(key, it) }.thenBy { it })

/** Returns the weight of [host] for [key], for callers that need only the greatest few. */
public fun rendezvousWeight(key: String, host: HostId): ULong = mix(fnv1a(host.value, fnv1a(key, FNV_OFFSET)))

/** Hashes a name once, for [rendezvousWeight] of many pairs of names. */
internal fun rendezvousSeed(name: String): ULong = mix(fnv1a(name, FNV_OFFSET))

/** Returns the weight of a host for a key from the seeds of both; differs from the weight of the names themselves. */
internal fun rendezvousWeight(
    keySeed: ULong,
    hostSeed: ULong,
): ULong = mix(keySeed xor mix(hostSeed))

private fun fnv1a(text: String, seed: ULong): ULong = text.fold(seed) { hash, char ->
    (hash xor char.code.toULong()) *
        FNV_PRIME
}

private fun mix(hash: ULong): ULong {
    var mixed = hash
    mixed = (mixed xor (mixed shr 30)) * MIX_FIRST
    mixed = (mixed xor (mixed shr 27)) * MIX_SECOND
    return mixed xor (mixed shr 31)
}

private const val FNV_OFFSET = 0xcbf29ce484222325u
private const val FNV_PRIME = 0x100000001b3u
private const val MIX_FIRST = 0xbf58476d1ce4e5b9u
private const val MIX_SECOND = 0x94d049bb133111ebu
