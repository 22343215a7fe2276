package kingcuptide.coordination.version

import java.util.concurrent.atomic.AtomicLongArray

/** What the distribution of versions counts. */
public enum class VersionEvent {
    /** A version was put in force. */
    IN_FORCE,

    /** A version was put in force although too few witnesses held it. */
    UNDER_WITNESSED,

    /** A content did not validate. */
    BAD_VERSION,

    /** The source or a peer gave another content under a known number. */
    VERSION_CONFLICT,

    /** The source gave a lower number than one already held. */
    VERSION_FELL,

    /** A payload was not what it claimed to be. */
    BAD_PAYLOAD,

    /** A difference needed a base that this daemon does not hold. */
    BASE_UNKNOWN,

    /** A request for content was not answered in time. */
    WANT_TIMED_OUT,

    /** A peer was too busy to send content. */
    WANT_REFUSED,

    /** This daemon was too busy to send content. */
    SENT_BUSY,

    /** A difference was sent. */
    SENT_DELTA,

    /** A whole content was sent. */
    SENT_WHOLE,

    /** The source was called. */
    SOURCE_CALL,

    /** A call to the source failed. */
    SOURCE_FAILED,

    /** A call to the source had to wait for this daemon's budget. */
    SOURCE_BUDGET_SPENT,

    /** A daemon without the reader role read the source itself. */
    SOURCE_FALLBACK,

    /** A restart ended with the answers of enough witnesses. */
    JOINED,

    /** A restart ended without the answers of enough witnesses. */
    JOINED_UNWITNESSED,

    /** This process found that it had been paused. */
    PAUSE_FOUND,

    /** A paused process took work again without having heard from a peer. */
    AWOKE_UNCONFIRMED,

    /** An answer to an earlier question was dropped. */
    LATE_ANSWER_DROPPED,
}

/** Counts each [VersionEvent]. Thread-safe. */
public class VersionCounters {
    private val counts = AtomicLongArray(VersionEvent.entries.size)

    /** Returns how often [event] has happened. */
    public operator fun get(event: VersionEvent): Long = counts.get(event.ordinal)

    internal fun count(event: VersionEvent) {
        counts.incrementAndGet(event.ordinal)
    }
}
