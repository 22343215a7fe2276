package kingcuptide.coordination.connection

import kotlinx.serialization.Serializable

/** Version control messages. */
@Serializable
public sealed interface VersionMessage : ControlMessage
