package kingcuptide.coordination.version

import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the distribution of versions. All daemons of a fleet should have the same.
 *
 * @property platformRegion region whose failure domains read the platform in ordinary operation
 * @property sourceCallsPerSecond what the platform bears from all daemons together
 * @property expectedHosts fleet size to assume while no host list is known
 * @property readersPerFailureDomain how many hosts of each failure domain of the platform region keep a watch
 * @property anchorsPerFailureDomain how many hosts of a failure domain are witnesses
 * @property requiredWitnesses how many witnesses must hold a version before it is put in force
 * @property treeFanOut children of a host in the tree that spreads a new version within a failure domain
 * @property wantTimeout how long a request for content waits before the next holder is asked
 * @property antiEntropyInterval time between two offers to a random peer
 * @property commitWait how long a version waits for witnesses before it is put in force without them
 * @property joinWait how long a restarted daemon waits for the witnesses' answers
 * @property joinGiveUp how long a restarted daemon waits for content that it knows to exist
 * @property pauseBound gap in this process's own steps from which it counts as paused
 * @property awakeWait how long a paused process waits for a peer before it takes work again
 * @property watchWait how long a waiting watch may wait at the platform
 * @property sourceCallTimeout how long after its own waiting time a call may stay unanswered
 * @property fallbackAfter age of the last confirmation from which a daemon without the reader role reads itself
 * @property staleAfter age of the last confirmation from which a daemon reports its knowledge as stale
 * @property payloadBytesPerSecond how much content a daemon sends to peers
 */
public data class VersionSettings(
    val platformRegion: RegionId,
    val sourceCallsPerSecond: Int = 2_000,
    val expectedHosts: Int = 1_100,
    val readersPerFailureDomain: Int = 2,
    val anchorsPerFailureDomain: Int = 2,
    val requiredWitnesses: Int = 3,
    val treeFanOut: Int = 8,
    val wantTimeout: Duration = 400.milliseconds,
    val antiEntropyInterval: Duration = 1.seconds,
    val commitWait: Duration = 1.seconds,
    val joinWait: Duration = 3.seconds,
    val joinGiveUp: Duration = 10.seconds,
    val pauseBound: Duration = 1.seconds,
    val awakeWait: Duration = 1.seconds,
    val watchWait: Duration = 2.seconds,
    val sourceCallTimeout: Duration = 2.seconds,
    val fallbackAfter: Duration = 30.seconds,
    val staleAfter: Duration = 60.seconds,
    val payloadBytesPerSecond: Int = 4_000_000,
)
