package kingcuptide.coordination.request

/** Whether a daemon suspects the requests with a fingerprint of crashing targets. */
public enum class Verdict {
    /** No suspicion. */
    CLEAR,

    /** It was in flight when a target crashed: the next request with it runs alone. */
    SUSPECT,

    /** It was in flight at two target crashes: requests with it are refused. */
    QUARANTINED,
}
