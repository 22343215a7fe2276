package kingcuptide.coordination.request.quota

/** Where the requests of a workspace arrive. */
internal enum class Place { ALL, ONE, MOVING }

/** A workspace that sends [perSecond] requests a second. */
internal class SimulatedWorkspace(
    val key: Int,
    val limit: QuotaLimit,
    val perSecond: Double,
    val place: Place,
)
