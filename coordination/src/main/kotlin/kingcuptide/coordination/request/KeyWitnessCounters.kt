package kingcuptide.coordination.request

import kingcuptide.coordination.connection.KeyRefusalReason

/** Counters of a [KeyWitness] since its creation, and the number of claims that it stores. */
public data class KeyWitnessCounters(
    val granted: Long,
    val refused: Map<KeyRefusalReason, Long>,
    val completed: Long,
    val released: Long,
    val records: Int,
)
