package kingcuptide.coordination.request

import kotlinx.serialization.Serializable

/** What is known of the execution of a request that got no response from a target. */
@Serializable
public enum class Outcome {
    /** The request did not run at any target and will not run. */
    NOT_RUN,

    /** The request may have run, or may still run. */
    UNKNOWN,
}
