package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * How a [Membership] probes and spreads.
 *
 * @property seeds hosts to start from until the platform's host list arrives
 * @property probeInterval in each interval a daemon probes its ring successors and one member in random order
 * @property ringSuccessors how many followers on the region's ring each daemon probes in every interval
 * @property ackTimeout how long a probe waits for its answer before other hosts are asked to probe
 * @property indirectTimeout how long the indirect probes wait
 * @property indirectProbes how many other hosts are asked to probe
 * @property suspicionTimeout how long a suspect has to refute before it is taken for dead
 * @property crossRegionProbeEvery one in this many random probes goes to another region
 * @property gossipInterval pause between two rounds of gossip while there is something to spread
 * @property gossipFanOut peers per round of gossip
 * @property crossRegionGossipEvery one in this many gossip messages goes to another region
 * @property gossipBytesPerSecond limit of gossip sent, datagram headers included
 * @property syncInterval pause between two comparisons of the whole table with a random peer
 * @property deadProbeInterval pause between two probes of members taken for dead, by which separated parts meet again
 * @property lateTick a pause between two ticks from which this daemon distrusts its own timeouts
 * @property forgetAfter how long a host that left the host list is remembered
 */
public data class MembershipSettings(
    val seeds: List<HostEntry> = emptyList(),
    val probeInterval: Duration = 1.seconds,
    val ringSuccessors: Int = 2,
    val ackTimeout: Duration = 300.milliseconds,
    val indirectTimeout: Duration = 400.milliseconds,
    val indirectProbes: Int = 3,
    val suspicionTimeout: Duration = 5.seconds,
    val crossRegionProbeEvery: Int = 8,
    val gossipInterval: Duration = 150.milliseconds,
    val gossipFanOut: Int = 3,
    val crossRegionGossipEvery: Int = 12,
    val gossipBytesPerSecond: Int = 8_000,
    val syncInterval: Duration = 5.seconds,
    val deadProbeInterval: Duration = 5.seconds,
    val lateTick: Duration = 400.milliseconds,
    val forgetAfter: Duration = 10.minutes,
)
