package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A control [message] and its sender, as encoded in a datagram or on a control connection. */
@Serializable
public data class ControlEnvelope(
    @SerialName("f") val from: HostId,
    @SerialName("m") val message: ControlMessage,
)
