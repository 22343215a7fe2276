package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId

/** A control message to send to the host [to]. */
public data class Outbound(
    val to: HostId,
    val message: ControlMessage,
)
