package kingcuptide.coordination.process

/** Updates this daemon's own state, [selfMember]. Each function returns whether the state must be gossiped. */
internal class SelfState(
    private val selfMember: Member,
) {
    var refutations = 0L
        private set
    var rejoins = 0L
        private set

    /** Refutes [claim] if it is wrong about this run, and takes a higher incarnation if it is about a former run. */
    fun handleClaim(claim: MemberClaim): Boolean = when {
        claim.incarnation < selfMember.incarnation -> false
        claim.incarnation > selfMember.incarnation -> supersede(claim.incarnation)
        claim.health == Health.DEAD -> rejoin()
        claim.revision > selfMember.revision -> supersede(claim.incarnation)
        claim.revision < selfMember.revision -> false
        claim.health == Health.SUSPECT -> refute()
        claim.leaving != selfMember.leaving -> supersede(claim.incarnation)
        else -> false
    }

    /** Raises the incarnation, because others may have declared this run dead and taken over its roles. */
    fun rejoin(): Boolean {
        rejoins++
        selfMember.incarnation++
        selfMember.revision = 0
        selfMember.rejoined = true
        return true
    }

    fun announceLeaving(): Boolean {
        if (selfMember.leaving) return false
        selfMember.leaving = true
        selfMember.revision++
        return true
    }

    fun announceCold(cold: Boolean): Boolean {
        if (selfMember.cold == cold) return false
        selfMember.cold = cold
        selfMember.revision++
        return true
    }

    private fun refute(): Boolean {
        refutations++
        selfMember.revision++
        return true
    }

    private fun supersede(formerIncarnation: Long): Boolean {
        selfMember.incarnation = formerIncarnation + 1
        selfMember.revision = 0
        selfMember.rejoined = false
        return true
    }
}
