package kingcuptide.coordination.request

/** What a daemon knows of whether a request is a call that the target beside it makes while it runs another request. */
public enum class CallEvidence {
    /** The target runs nothing that could have made it. */
    NONE,

    /** The target runs requests, or may run some that the daemon no longer knows. */
    TARGET_MAY_RUN,

    /** Its id continues that of a request that the target runs or may still run. */
    ID,
}
