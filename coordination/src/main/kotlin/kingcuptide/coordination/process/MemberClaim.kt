package kingcuptide.coordination.process

import kingcuptide.coordination.connection.MemberFlags
import kingcuptide.coordination.connection.MemberUpdate
import kingcuptide.coordination.connection.SenderState

/** State of one host as claimed by some daemon, with an absolute incarnation. */
internal data class MemberClaim(
    val incarnation: Long,
    val revision: Int,
    val health: Health,
    val leaving: Boolean,
    val cold: Boolean,
    val rejoined: Boolean,
)

internal fun Member.claim(): MemberClaim = MemberClaim(incarnation, revision, health, leaving, cold, rejoined)

internal fun SenderState.claim(): MemberClaim = claimOf(incarnation, revision, flags)

internal fun MemberUpdate.claim(senderIncarnation: Long): MemberClaim =
    claimOf(senderIncarnation + incarnationOffset, revision, flags)

internal fun MemberClaim.toUpdate(key: Int, senderIncarnation: Long): MemberUpdate =
    MemberUpdate(key, incarnation - senderIncarnation, revision, flags())

internal fun MemberClaim.toSenderState(): SenderState = SenderState(incarnation, revision, flags())

private fun claimOf(incarnation: Long, revision: Int, flags: Int): MemberClaim = MemberClaim(
    incarnation = incarnation,
    revision = revision,
    health = when {
        flags.has(MemberFlags.DEAD) -> Health.DEAD
        flags.has(MemberFlags.SUSPECT) -> Health.SUSPECT
        else -> Health.ALIVE
    },
    leaving = flags.has(MemberFlags.LEAVING),
    cold = flags.has(MemberFlags.COLD),
    rejoined = flags.has(MemberFlags.REJOINED),
)

private fun MemberClaim.flags(): Int {
    val healthFlag = when (health) {
        Health.ALIVE -> 0
        Health.SUSPECT -> MemberFlags.SUSPECT
        Health.DEAD -> MemberFlags.DEAD
    }
    val leavingFlag = if (leaving) MemberFlags.LEAVING else 0
    val coldFlag = if (cold) MemberFlags.COLD else 0
    val returnedFlag = if (rejoined) MemberFlags.REJOINED else 0
    return healthFlag or leavingFlag or coldFlag or returnedFlag
}

private fun Int.has(flag: Int): Boolean = this and flag != 0
