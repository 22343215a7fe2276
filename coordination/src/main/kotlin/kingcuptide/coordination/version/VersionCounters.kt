package kingcuptide.coordination.version

import java.util.concurrent.atomic.AtomicLongArray

/** Events of the version distribution that are counted. */
public enum class VersionEvent {
    /** A version was put in force. */
    IN_FORCE,

    /** A version was put in force although too few witnesses had it. */
    UNDER_WITNESSED,

    /** A content was invalid. */
    BAD_VERSION,

    /** The source or a peer sent a different content with a known number. */
    VERSION_CONFLICT,

    /** The source returned a lower number than that of a version already received. */
    VERSION_FELL,

    /** A payload was malformed or did not have the digest that it named. */
    BAD_PAYLOAD,

    /** A delta needed a base that this daemon does not have. */
    BASE_UNKNOWN,

    /** A payload request got no reply in time. */
    WANT_TIMED_OUT,

    /** A peer was too busy to send content. */
    WANT_REFUSED,

    /** This daemon was too busy to send content. */
    SENT_BUSY,

    /** A delta was sent. */
    SENT_DELTA,

    /** A whole content was sent. */
    SENT_WHOLE,

    /** The source was called. */
    SOURCE_CALL,

    /** A call to the source failed. */
    SOURCE_FAILED,

    /** A call to the source was delayed because this daemon's budget was spent. */
    SOURCE_BUDGET_SPENT,

    /** A daemon without the reader role read the source itself. */
    SOURCE_FALLBACK,

    /** The daemon joined with replies of enough witnesses. */
    JOINED,

    /** The daemon joined without replies of enough witnesses. */
    JOINED_UNWITNESSED,

    /** A pause of this process was detected. */
    PAUSE_FOUND,

    /** A paused process accepted requests again without a confirmation from a peer. */
    AWOKE_UNCONFIRMED,

    /** A reply to an earlier query was dropped. */
    LATE_ANSWER_DROPPED,
}

/** Counts each [VersionEvent]. Thread-safe. */
public class VersionCounters {
    private val counts = AtomicLongArray(VersionEvent.entries.size)

    /** Returns the number of occurrences of [event]. */
    public operator fun get(event: VersionEvent): Long = counts.get(event.ordinal)

    internal fun count(event: VersionEvent) {
        counts.incrementAndGet(event.ordinal)
    }
}
