package kingcuptide.coordination.connection

import kotlinx.serialization.Serializable

/** Quarantine control messages. */
@Serializable
public sealed interface QuarantineMessage : ControlMessage
