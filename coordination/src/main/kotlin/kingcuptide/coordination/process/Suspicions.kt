package kingcuptide.coordination.process

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The members that are suspected, and when each is probed once more and taken for dead. */
internal class Suspicions(
    private val settings: MembershipSettings,
    private val random: Random,
) {
    private val suspects = LinkedHashSet<Member>()

    /** Suspects [member] from [now] on. */
    fun start(member: Member, now: Duration) {
        member.health = Health.SUSPECT
        member.doubted = false
        member.deathAt = now + settings.suspicionTimeout
        member.verifyAt = now + settings.suspicionTimeout * (VERIFY_FROM + VERIFY_SPREAD * random.nextDouble())
        suspects += member
    }

    /** Doubts the verdict on [member]: it is probed soon, and dead if it does not answer. */
    fun doubt(member: Member, now: Duration) {
        start(member, now)
        member.doubted = true
        member.diedUnanswered = false
        member.verifyAt = now
    }

    fun stop(member: Member) {
        suspects -= member
        member.verifyAt = null
        member.doubted = false
    }

    /** Returns the failure domains of which at least [HERD] hosts are suspects. */
    fun herds(): Set<FailureDomainId> = suspects
        .filterNot { it.doubted }
        .groupingBy { it.entry.failureDomain }
        .eachCount()
        .filterValues { it >= HERD }
        .keys

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

    /** Notes that [member] is being probed once more, and plans another probe if there is time for it. */
    fun verified(member: Member, now: Duration) {
        val next = now + VERIFY_AGAIN
        member.verifyAt = next.takeIf { it + settings.ackTimeout <= member.deathAt }
    }

    /** Returns the suspects whose time is up and that were probed once more. */
    fun dueForDeath(now: Duration): List<Member> = suspects.filter { it.deathAt <= now && it.verifyAt == null }

    private companion object {
        const val HERD = 2
        const val VERIFY_FROM = 0.3
        const val VERIFY_SPREAD = 0.3
        val VERIFY_AGAIN = 1.5.seconds
    }
}
