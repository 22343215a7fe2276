package kingcuptide.coordination.request

import kotlin.time.Duration

/**
 * Load report of a gate, for daemons that choose among gates.
 *
 * @property queued number of queued requests that can still meet their objective
 * @property limit greatest number of requests in flight; 0 if the target is not open
 * @property wait expected queue time of the next request
 * @property ratePerSecond requests a second that the target has named as its limit, or null for none
 * @property leavingInstance the instance of the target that has said in a response that it leaves
 * @property runTimes run times of the target by route; empty if unknown or from a daemon that reports none
 * @property demand demand of the callers of this daemon, in pings only
 */
public data class GateLoadReport(
    val inFlight: Int,
    val queued: Int,
    val limit: Int,
    val wait: Duration,
    val cold: Boolean,
    val ratePerSecond: Double? = null,
    val leavingInstance: TargetInstance? = null,
    val runTimes: RunTimes = emptyMap(),
    val demand: Demand = emptyMap(),
)
