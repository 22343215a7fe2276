package kingcuptide.coordination.process

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The suspected members, and when each of them is probed again and declared dead. */
internal class Suspicions(
    private val settings: MembershipSettings,
    private val random: Random,
) {
    private val suspects = LinkedHashSet<Member>()

    /** Marks [member] as suspected from [now] on. */
    fun start(member: Member, now: Duration) {
        member.health = Health.SUSPECT
        member.isRecheck = false
        member.deadAt = now + settings.suspicionTimeout
        member.nextProbeAt =
            now + settings.suspicionTimeout * (MIN_PROBE_DELAY_SHARE + PROBE_DELAY_JITTER_SHARE * random.nextDouble())
        suspects += member
    }

    /** Rechecks the verdict on [member]: it is probed soon, and declared dead if it does not reply. */
    fun recheck(member: Member, now: Duration) {
        start(member, now)
        member.isRecheck = true
        member.deadWhileIsolated = false
        member.nextProbeAt = now
    }

    fun stop(member: Member) {
        suspects -= member
        member.nextProbeAt = null
        member.isRecheck = false
    }

    /** Returns the failure domains that have at least [MIN_SUSPECTS_PER_DOMAIN] suspected hosts, rechecks excluded. */
    fun suspectFailureDomains(): Set<FailureDomainId> = suspects
        .filterNot { it.isRecheck }
        .groupingBy { it.entry.failureDomain }
        .eachCount()
        .filterValues { it >= MIN_SUSPECTS_PER_DOMAIN }
        .keys

    /** Postpones every verdict by [gap], during which this daemon could not receive a refutation. */
    fun postpone(gap: Duration) {
        for (member in suspects) {
            member.deadAt += gap
            member.nextProbeAt = member.nextProbeAt?.plus(gap)
        }
    }

    /** Returns the suspected members that are due for another probe. */
    fun dueForProbe(now: Duration): List<Member> =
        suspects.filter { member -> member.nextProbeAt?.let { it <= now } ?: false }

    /** Records another probe of [member], and schedules the next if it can complete before the verdict. */
    fun recordProbe(member: Member, now: Duration) {
        val next = now + PROBE_INTERVAL
        member.nextProbeAt = next.takeIf { it + settings.ackTimeout <= member.deadAt }
    }

    /** Returns the suspected members whose timeout has passed and that have no further probe due. */
    fun dueForDeadVerdict(now: Duration): List<Member> = suspects.filter { it.deadAt <= now && it.nextProbeAt == null }

    private companion object {
        const val MIN_SUSPECTS_PER_DOMAIN = 2
        const val MIN_PROBE_DELAY_SHARE = 0.3
        const val PROBE_DELAY_JITTER_SHARE = 0.3
        val PROBE_INTERVAL = 1.5.seconds
    }
}
