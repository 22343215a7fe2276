package kingcuptide.coordination.version

import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the version distribution. All daemons of a fleet should have the same.
 *
 * @property platformRegion region whose hosts read from the platform in normal operation
 * @property sourceCallsPerSecond maximum rate of platform calls of all daemons together
 * @property expectedHosts assumed number of hosts while no host list is known
 * @property readersPerFailureDomain number of hosts in each failure domain of the platform region that keep a watch
 * @property anchorsPerFailureDomain number of hosts in each failure domain that are witnesses
 * @property requiredWitnesses number of witnesses that must have a version before it is put in force
 * @property treeFanOut children of a host in the tree along which a version is relayed within a failure domain
 * @property payloadTimeout time without reply after which a payload is requested from the next peer
 * @property antiEntropyInterval mean time between two offers to a random peer
 * @property commitWait time after which a staged version is put in force without enough witnesses
 * @property joinWait time for which a restarted daemon waits for the replies of witnesses
 * @property joinContentWait time for which a restarted daemon waits for a newer version that it knows to exist
 * @property pauseThreshold time between two steps of this process above which it counts as paused
 * @property recoveryWait time after which a process that was paused accepts requests without confirmation of a peer
 * @property watchTimeout time after which the platform ends a watch without a change
 * @property sourceCallTimeout timeout of a platform call, in addition to its own waiting time
 * @property fallbackAfter age of the last confirmation from which a daemon without the reader role reads the platform
 * @property staleAfter age of the last confirmation from which a daemon reports its versions as stale
 * @property payloadBytesPerSecond maximum rate at which a daemon sends content to peers, in bytes per second
 */
public data class VersionSettings(
    val platformRegion: RegionId,
    val sourceCallsPerSecond: Int = 2_000,
    val expectedHosts: Int = 1_100,
    val readersPerFailureDomain: Int = 2,
    val anchorsPerFailureDomain: Int = 2,
    val requiredWitnesses: Int = 3,
    val treeFanOut: Int = 8,
    val payloadTimeout: Duration = 400.milliseconds,
    val antiEntropyInterval: Duration = 1.seconds,
    val commitWait: Duration = 1.seconds,
    val joinWait: Duration = 3.seconds,
    val joinContentWait: Duration = 10.seconds,
    val pauseThreshold: Duration = 1.seconds,
    val recoveryWait: Duration = 1.seconds,
    val watchTimeout: Duration = 2.seconds,
    val sourceCallTimeout: Duration = 2.seconds,
    val fallbackAfter: Duration = 30.seconds,
    val staleAfter: Duration = 60.seconds,
    val payloadBytesPerSecond: Int = 4_000_000,
)
