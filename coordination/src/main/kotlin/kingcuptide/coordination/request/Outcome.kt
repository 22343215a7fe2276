package kingcuptide.coordination.request

import kotlinx.serialization.Serializable

/** What is known of a request that got no answer from a target. */
@Serializable
public enum class Outcome {
    /** The request did not run at any target, and will not. */
    NOT_RUN,

    /** The request may have run, or may still run. */
    UNKNOWN,
}
