package kingcuptide.coordination.request

import kingcuptide.coordination.connection.KeyRefusalReason

/** What a [KeyWitness] counted since it was made, and how many claims it remembers. */
public data class KeyWitnessCounters(
    val granted: Long,
    val refused: Map<KeyRefusalReason, Long>,
    val completed: Long,
    val released: Long,
    val records: Int,
)
