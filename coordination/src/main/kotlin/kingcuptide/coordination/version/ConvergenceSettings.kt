package kingcuptide.coordination.version

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How a [ConvergenceCollector] asks the fleet.
 *
 * @property totalTimeout time after which a query ends with what has arrived
 * @property acceptTimeout how long the leader of a group may take to say that it has begun
 * @property leafTimeout how long a single host may take to answer
 * @property fanOut number of groups into which hosts of one failure domain are divided
 * @property leafGroup number of hosts that a daemon asks one by one instead of dividing them
 * @property cacheFor how long a finished summary answers further queries
 */
public data class ConvergenceSettings(
    val totalTimeout: Duration = 2.seconds,
    val acceptTimeout: Duration = 150.milliseconds,
    val leafTimeout: Duration = 250.milliseconds,
    val fanOut: Int = 8,
    val leafGroup: Int = 24,
    val cacheFor: Duration = 500.milliseconds,
)
