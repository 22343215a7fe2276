package kingcuptide.coordination.process

/** Answers what others claim of this daemon, kept in [me]. Each function returns whether there is something to spread. */
internal class SelfState(
    private val me: Member,
) {
    var refutations = 0L
        private set
    var returns = 0L
        private set

    /** Refutes [claim] if it is about this run and wrong, and rises above the claim if it is about a former run. */
    fun answer(claim: MemberClaim): Boolean = when {
        claim.incarnation < me.incarnation -> false
        claim.incarnation > me.incarnation -> riseAbove(claim.incarnation)
        claim.health == Health.DEAD -> returnFromDeath()
        claim.revision > me.revision -> riseAbove(claim.incarnation)
        claim.revision < me.revision -> false
        claim.health == Health.SUSPECT -> refute()
        claim.leaving != me.leaving -> riseAbove(claim.incarnation)
        else -> false
    }

    /** Raises the incarnation of a run that others may have taken for dead: what it owned may have moved on. */
    fun returnFromDeath(): Boolean {
        returns++
        me.incarnation++
        me.revision = 0
        me.returned = true
        return true
    }

    fun announceLeaving(): Boolean {
        if (me.leaving) return false
        me.leaving = true
        me.revision++
        return true
    }

    fun announceCold(cold: Boolean): Boolean {
        if (me.cold == cold) return false
        me.cold = cold
        me.revision++
        return true
    }

    private fun refute(): Boolean {
        refutations++
        me.revision++
        return true
    }

    private fun riseAbove(formerIncarnation: Long): Boolean {
        me.incarnation = formerIncarnation + 1
        me.revision = 0
        me.returned = false
        return true
    }
}
