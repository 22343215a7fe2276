package kingcuptide.coordination.version

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The two resources that daemons read from the platform and distribute among themselves. */
@Serializable
public enum class ResourceKind {
    @SerialName("d")
    DOCUMENT,

    @SerialName("h")
    HOST_LIST,
}
