package kingcuptide.coordination.connection

import kotlinx.serialization.Serializable

/** Convergence control messages. */
@Serializable
public sealed interface ConvergenceMessage : ControlMessage
