package kingcuptide.coordination.process

/** What a claim did to the member that it is about. */
internal enum class MergeOutcome {
    /** It says nothing new. */
    KNOWN,

    /** It is about an announcement that the host has since replaced. */
    STALE,

    /** The host announced something new. */
    ANNOUNCED,

    /** The host is suspected from now on. */
    SUSPECTED,

    /** It takes a host for dead that this daemon believes in, or the other way round; the host has to be told. */
    DISPUTED,
}

/**
 * Decides what [claim] means for a member, and takes over what the host itself announced.
 *
 * Announcements are ordered by incarnation, then by revision. A suspicion counts against the announcement that it names
 * and against no later one. Death is not taken on hearsay, except of a host that this daemon never heard of; a dead
 * host
 * comes back with a greater incarnation only.
 */
internal fun Member.merge(claim: MemberClaim): MergeOutcome = when {
    !heard -> mergeFirst(claim)
    claim.incarnation < incarnation -> MergeOutcome.STALE
    claim.incarnation > incarnation -> mergeNewer(claim)
    health == Health.DEAD -> if (claim.health == Health.DEAD) MergeOutcome.KNOWN else MergeOutcome.DISPUTED
    claim.health == Health.DEAD -> if (health == Health.SUSPECT) MergeOutcome.KNOWN else MergeOutcome.DISPUTED
    claim.revision < revision -> MergeOutcome.STALE
    claim.revision > revision -> mergeNewer(claim)
    claim.health == Health.SUSPECT && health == Health.ALIVE -> MergeOutcome.SUSPECTED
    else -> MergeOutcome.KNOWN
}

private fun Member.mergeFirst(claim: MemberClaim): MergeOutcome {
    announce(claim)
    health = if (claim.health == Health.DEAD) Health.DEAD else Health.ALIVE
    return if (claim.health == Health.SUSPECT) MergeOutcome.SUSPECTED else MergeOutcome.ANNOUNCED
}

private fun Member.mergeNewer(claim: MemberClaim): MergeOutcome {
    announce(claim)
    health = Health.ALIVE
    return if (claim.health == Health.ALIVE) MergeOutcome.ANNOUNCED else MergeOutcome.SUSPECTED
}

private fun Member.announce(claim: MemberClaim) {
    heard = true
    incarnation = claim.incarnation
    revision = claim.revision
    leaving = claim.leaving
    cold = claim.cold
    returned = claim.returned
}
