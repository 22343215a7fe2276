package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A [message] with the host that sent it, as it travels in a datagram or on a control connection. */
@Serializable
public data class ControlEnvelope(
    @SerialName("f") val from: HostId,
    @SerialName("m") val message: ControlMessage,
)
