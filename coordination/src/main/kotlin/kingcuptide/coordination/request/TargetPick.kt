package kingcuptide.coordination.request

import kingcuptide.coordination.version.KnownTarget

/** The target chosen for a request; [reason] says why it is not a nearer one. */
public data class TargetPick(
    val target: KnownTarget,
    val reason: PickReason,
)

/** Why a request goes to a target and not to a nearer one. */
public enum class PickReason {
    /** No target is nearer than one in the failure domain of this daemon. */
    NEAREST,

    /** The home regions of the request exclude the region of this daemon. */
    HOME_REGIONS,

    /** No nearer target is in use. */
    NONE_NEARER,

    /** Nearer targets have been tried, are failing or closed, or have spent their rate. */
    NEARER_UNAVAILABLE,

    /** The demand of the callers nearby exceeds what their targets can bear. */
    PLANNED_SPILL,

    /** The queues of nearer targets are longer. */
    SHORTER_QUEUE,

    /** The target has the best score; used while gates report no run times. */
    BEST_SCORE,
}
