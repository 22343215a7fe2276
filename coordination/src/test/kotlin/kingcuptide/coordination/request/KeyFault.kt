package kingcuptide.coordination.request

/** Progress of the first claim of a key when the fault is injected. */
internal enum class KeyStep {
    CLAIM_SENT,
    ONE_WITNESS_GRANTED,
    GRANTED,
    BEGUN,
    COMPLETED,
    RELEASED,
}

/** Fault injected while a key is claimed. "First" is the host of the key's first slot. */
internal enum class KeyFault {
    NONE,
    GATE_KILLED,
    GATE_PAUSED_PAST_WINDOW,
    FIRST_WITNESS_RESTARTED,
    TWO_WITNESSES_RESTARTED,
    ALL_RESTARTED,
    FIRST_WITNESS_PAUSED,
    FIRST_WITNESS_DISCONNECTED,
    TWO_WITNESSES_DISCONNECTED,
    ALL_MESSAGES_LOST,
    ALL_MESSAGES_DUPLICATED,
    ALL_MESSAGES_REVERSED,
    FIRST_WITNESS_REPLACED,
    FIRST_WITNESS_REPLACED_BUT_GATE_UNAWARE,
}

/** When the caller sends the key again, in resend windows since the first request. */
internal enum class Resend(
    val windows: Double,
) {
    AT_ONCE(0.0),
    HALFWAY(0.5),
    AT_THE_END(0.999),
}

/** Gate that the second request reaches. */
internal enum class SecondGate {
    SAME,
    OTHER,
}
