package kingcuptide.coordination.process

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Detects whether this daemon itself is cut off, by the time of the last ack of any of its probes.
 *
 * A daemon that receives no acks at all is probably isolated itself: it delays its suspicions and does not gossip them.
 */
internal class IsolationDetector(
    startedAt: Duration,
) {
    private var lastAckAt = startedAt

    /** Records an ack at [now]; returns whether this daemon was isolated until then. */
    fun recordAck(now: Duration): Boolean {
        val wasIsolated = isIsolated(now)
        lastAckAt = now
        return wasIsolated
    }

    /** Excludes [gap], during which this process did not run. */
    fun postpone(gap: Duration) {
        lastAckAt += gap
    }

    fun isIsolated(now: Duration): Boolean = now - lastAckAt >= ISOLATED_AFTER

    /** Returns whether no ack arrived since [sentAt], but not for long enough to detect isolation. */
    fun isInconclusive(sentAt: Duration, now: Duration): Boolean = lastAckAt < sentAt && !isIsolated(now)

    private companion object {
        val ISOLATED_AFTER = 1.5.seconds
    }
}
