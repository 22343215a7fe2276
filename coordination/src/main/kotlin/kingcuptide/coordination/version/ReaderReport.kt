package kingcuptide.coordination.version

import kotlin.time.Duration

/**
 * What a peer said of how it reads the source.
 *
 * @property rank how near the source it is, less is better
 * @property contactAge time since it knew that what it holds was current
 */
public data class ReaderReport(
    val host: String,
    val rank: Int,
    val state: ReaderState,
    val contactAge: Duration,
)

/** Whether a daemon reads the source. */
public enum class ReaderState {
    /** It doesn't, and could be the next to do so. */
    IDLE,

    /** It does. */
    READING,

    /** It tries to, without success so far. */
    TRYING,
}
