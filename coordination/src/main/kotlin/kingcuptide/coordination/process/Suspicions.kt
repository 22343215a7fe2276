package kingcuptide.coordination.process

import kotlin.random.Random
import kotlin.time.Duration

/** The members that are suspected, and when each is probed once more and taken for dead. */
internal class Suspicions(
    private val settings: MembershipSettings,
    private val random: Random,
) {
    private val suspects = LinkedHashSet<Member>()

    /** Suspects [member] from [now] on. */
    fun start(member: Member, now: Duration) {
        member.health = Health.SUSPECT
        member.deathAt = now + settings.suspicionTimeout
        member.verifyAt = now + settings.suspicionTimeout * (VERIFY_FROM + VERIFY_SPREAD * random.nextDouble())
        suspects += member
    }

    fun stop(member: Member) {
        suspects -= member
        member.verifyAt = null
    }

    /** Puts off every verdict by [gap], in which this daemon could not hear a refutation. */
    fun postpone(gap: Duration) {
        for (member in suspects) {
            member.deathAt += gap
            member.verifyAt = member.verifyAt?.plus(gap)
        }
    }

    /** Returns the suspects that are due to be probed once more. */
    fun dueForVerification(now: Duration): List<Member> =
        suspects.filter { member -> member.verifyAt?.let { it <= now } ?: false }

    /** Returns the suspects whose time is up and that were probed once more. */
    fun dueForDeath(now: Duration): List<Member> = suspects.filter { it.deathAt <= now && it.verifyAt == null }

    private companion object {
        const val VERIFY_FROM = 0.4
        const val VERIFY_SPREAD = 0.4
    }
}
