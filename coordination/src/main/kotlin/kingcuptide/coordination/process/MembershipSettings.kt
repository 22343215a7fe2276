package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Timing and limits of the probes, gossip and anti-entropy of a [Membership].
 *
 * @property seeds initial hosts, used until the platform's host list arrives
 * @property probeInterval in each interval a daemon probes its ring successors and one member in random order
 * @property ringSuccessors number of successors on the region's ring that each daemon probes in every interval
 * @property ackTimeout how long a probe waits for its ack before indirect probes are sent
 * @property indirectTimeout how long indirect probes wait for an ack
 * @property indirectProbes number of hosts that are requested to probe indirectly
 * @property suspicionTimeout how long a suspected host has to refute before it is declared dead
 * @property crossRegionProbeEvery one in this many random probes goes to another region
 * @property gossipInterval pause between two rounds of gossip while updates are queued
 * @property gossipFanOut peers per round of gossip
 * @property crossRegionGossipEvery one in this many gossip messages goes to another region
 * @property gossipBytesPerSecond limit of the gossip sent, including datagram headers
 * @property syncInterval pause between two anti-entropy comparisons of the whole table with a random peer
 * @property deadProbeInterval pause between two probes of members declared dead; these detect healed partitions
 * @property lateTickThreshold pause between two ticks from which this daemon ignores its own timeouts
 * @property removedHostRetention how long the state of a host removed from the host list is kept
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
    val lateTickThreshold: Duration = 400.milliseconds,
    val removedHostRetention: Duration = 10.minutes,
)
