package kingcuptide.coordination.connection

import kotlinx.serialization.Serializable

/** Membership control messages. */
@Serializable
public sealed interface MembershipMessage : ControlMessage
