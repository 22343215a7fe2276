package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RegionId
import kotlin.time.Duration

/**
 * How a peer reads the source, as it last reported.
 *
 * @property rank distance from the source; lower is nearer
 * @property contactAge time since its state was last confirmed as current
 * @property failureDomain null if unknown, which counts as a domain of its own
 * @property region null if unknown; all unknown ones count as one region
 */
public data class ReaderReport(
    val host: String,
    val rank: Int,
    val state: ReaderState,
    val contactAge: Duration,
    val failureDomain: FailureDomainId? = null,
    val region: RegionId? = null,
)

/** Whether a daemon reads the source. */
public enum class ReaderState {
    /** It does not read, and may be selected to do so. */
    IDLE,

    /** It reads and is in contact with the source. */
    READING,

    /** It tries to read, but is not in contact with the source. */
    TRYING,
}
