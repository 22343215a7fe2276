package kingcuptide.coordination.version

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the queries of a [ConvergenceCollector].
 *
 * @property totalTimeout time after which a query ends with the replies received so far
 * @property acceptTimeout time within which the leader of a group must confirm a request
 * @property hostTimeout time within which a single host must reply
 * @property fanOut number of groups into which hosts of one failure domain are divided
 * @property maxDirectHosts maximum number of hosts that a daemon queries individually instead of in groups
 * @property cacheDuration time for which a finished summary is returned for further queries
 */
public data class ConvergenceSettings(
    val totalTimeout: Duration = 2.seconds,
    val acceptTimeout: Duration = 150.milliseconds,
    val hostTimeout: Duration = 250.milliseconds,
    val fanOut: Int = 8,
    val maxDirectHosts: Int = 24,
    val cacheDuration: Duration = 500.milliseconds,
)
