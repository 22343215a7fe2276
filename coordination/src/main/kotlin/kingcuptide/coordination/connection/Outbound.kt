package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId

/** A control message that a decision wants sent. */
public data class Outbound(
    val to: HostId,
    val message: ControlMessage,
)
