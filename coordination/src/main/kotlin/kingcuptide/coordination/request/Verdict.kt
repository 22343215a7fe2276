package kingcuptide.coordination.request

/** What a daemon holds against a fingerprint. */
public enum class Verdict {
    /** Nothing. */
    CLEAR,

    /** It was in flight when a target died: the next one runs alone. */
    SUSPECT,

    /** It was in flight at the death of two targets: it is refused. */
    QUARANTINED,
}
