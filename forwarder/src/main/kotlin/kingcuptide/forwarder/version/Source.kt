package kingcuptide.forwarder.version

import kingcuptide.coordination.version.SourceItem
import kotlin.time.Duration

/** Reads what the platform publishes. Every call is bounded in time and never throws but on cancellation. */
interface Source {
    /** Where everything of use lies. */
    val parts: List<SourcePart>

    /** Shortest time between the starts of two watches. */
    val minWatchInterval: Duration

    /** Reads all items below [prefix]. A [allowStale] read may show how things were some seconds ago. */
    suspend fun readAll(prefix: String, allowStale: Boolean): SourceResult

    /** Returns the time that it takes to reach the source, or null if it can't be reached; costs no call. */
    suspend fun measureConnectTime(): Duration?

    /** Waits a while for changes of anything after revision [after]: one call tells of all parts. */
    suspend fun watch(after: Long): SourceResult
}

/** What a read of the source brought. */
sealed interface SourceResult {
    /** Items, as of a revision. */
    data class Items(
        val items: List<SourceItem>,
        val asOf: Long,
    ) : SourceResult

    /** The history asked for is gone: all items must be read again. */
    data object HistoryGone : SourceResult

    /** Nothing was learned. */
    data class Failed(
        val reason: String,
    ) : SourceResult
}

/** All items below one prefix; those of a large part a daemon that starts had better get from a peer near it. */
data class SourcePart(
    val prefix: String,
    val isLarge: Boolean,
)
