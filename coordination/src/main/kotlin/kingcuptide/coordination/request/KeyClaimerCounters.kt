package kingcuptide.coordination.request

import kingcuptide.coordination.connection.KeyRefusalReason

/** Counters of a [KeyClaimer] since its creation, and the number of its open claims. */
public data class KeyClaimerCounters(
    val started: Long = 0,
    val granted: Long = 0,
    val alreadyUsed: Long = 0,
    val notGranted: Long = 0,
    val resent: Long = 0,
    val begunTooLate: Long = 0,
    val released: Long = 0,
    val open: Int = 0,
    val refusals: Map<KeyRefusalReason, Long> = emptyMap(),
)
