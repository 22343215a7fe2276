package kingcuptide.coordination.process

/** Effect of a claim on the member that it refers to. */
internal enum class MergeOutcome {
    /** The claim contains nothing new. */
    UNCHANGED,

    /** The claim refers to an announcement that the host has since replaced. */
    STALE,

    /** The claim contains a newer announcement of the host. */
    ANNOUNCED,

    /** The member has become suspected. */
    SUSPECTED,

    /** The claim declares dead a member that is alive here, or the reverse; the host has to be notified. */
    DISPUTED,
}

/**
 * Applies [claim] to this member and returns its effect.
 *
 * Announcements are ordered by incarnation, then by revision. A suspicion applies to the announcement that it names and
 * to no later one. A claim alone never declares a member dead, except one that is still unknown here; a dead member
 * becomes alive only by a higher incarnation.
 */
internal fun Member.merge(claim: MemberClaim): MergeOutcome = when {
    !isKnown -> mergeFirst(claim)
    claim.incarnation < incarnation -> MergeOutcome.STALE
    claim.incarnation > incarnation -> mergeNewer(claim)
    health == Health.DEAD -> if (claim.health == Health.DEAD) MergeOutcome.UNCHANGED else MergeOutcome.DISPUTED
    claim.health == Health.DEAD -> if (health == Health.SUSPECT) MergeOutcome.UNCHANGED else MergeOutcome.DISPUTED
    claim.revision < revision -> MergeOutcome.STALE
    claim.revision > revision -> mergeNewer(claim)
    claim.health == Health.SUSPECT && health == Health.ALIVE -> MergeOutcome.SUSPECTED
    else -> MergeOutcome.UNCHANGED
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
    isKnown = true
    incarnation = claim.incarnation
    revision = claim.revision
    leaving = claim.leaving
    cold = claim.cold
    rejoined = claim.rejoined
}
