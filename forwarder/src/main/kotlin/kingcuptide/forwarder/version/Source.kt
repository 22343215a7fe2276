package kingcuptide.forwarder.version

import kingcuptide.coordination.version.SourceItem
import kotlin.time.Duration

/** Reads what the platform publishes. Every call is bounded in time and throws only on cancellation. */
interface Source {
    /** All parts of the source that the daemon needs. */
    val parts: List<SourcePart>

    /** Shortest time between the starts of two watches. */
    val minWatchInterval: Duration

    /** Reads all items below [prefix]. With [allowStale] the result may be some seconds old. */
    suspend fun readAll(prefix: String, allowStale: Boolean): SourceResult

    /** Returns the time that opening a connection to the source takes, or null on failure; makes no call. */
    suspend fun measureConnectTime(): Duration?

    /** Waits a bounded time for changes after revision [after], all in their order; one call covers all parts. */
    suspend fun watch(after: Long): SourceResult
}

/** Result of a read of the source. */
sealed interface SourceResult {
    /** Items, as of a revision. */
    data class Items(
        val items: List<SourceItem>,
        val asOf: Long,
    ) : SourceResult

    /** The source has discarded the requested history: all items must be read again. */
    data object HistoryGone : SourceResult

    /** The call failed; [reason] goes into the log. */
    data class Failed(
        val reason: String,
    ) : SourceResult
}

/** All items below one prefix. A starting daemon should get a large part from a nearby peer where it can. */
data class SourcePart(
    val prefix: String,
    val isLarge: Boolean,
)
