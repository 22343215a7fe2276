package kingcuptide.coordination.connection

import kotlinx.serialization.Serializable

/** Key control messages. */
@Serializable
public sealed interface KeyMessage : ControlMessage
