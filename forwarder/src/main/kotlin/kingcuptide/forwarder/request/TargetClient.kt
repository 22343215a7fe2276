package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import kingcuptide.coordination.process.Clock
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpClientLimits
import kingcuptide.forwarder.connection.HttpConnection
import kingcuptide.forwarder.connection.HttpEnd
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Calls the target beside this daemon over connections that are kept.
 *
 * Nothing is sent twice: whether a lost call is repeated is decided where the whole fleet's allowance is known. Used on
 * the event loop.
 */
class TargetClient(
    private val loop: EventLoop,
    private val clock: Clock,
    private val address: InetSocketAddress,
) {
    private val idle = ArrayDeque<Kept>()

    suspend fun call(call: HttpCall, repeatable: Boolean, accepts: (Headers) -> Boolean): HttpEnd {
        val kept = takeIdle(if (repeatable) REUSE_SHARE else SURE_REUSE_SHARE)
        if (kept == null) return callAnew(call, accepts)
        val end = exchange(kept, call, accepts)
        return if (end is HttpEnd.NotSent) callAnew(call, accepts) else end
    }

    /** Closes the connections that are kept: the target is another than before. */
    fun forget() {
        idle.forEach { it.connection.close() }
        idle.clear()
    }

    private suspend fun callAnew(call: HttpCall, accepts: (Headers) -> Boolean): HttpEnd {
        var failure = "connect failed"
        val connection =
            HttpConnection.open(loop, address, LIMITS) { failure = it } ?: return HttpEnd.NotSent(failure)
        return exchange(connection, call, accepts)
    }

    private suspend fun exchange(connection: HttpConnection, call: HttpCall, accepts: (Headers) -> Boolean): HttpEnd {
        val end = connection.exchange(call, accepts)
        if (connection.isUsable) idle.addLast(Kept(connection, clock.now())) else connection.close()
        return end
    }

    /** Takes the connection used last; those idle for over [share] of what the target allows are closed. */
    private fun takeIdle(share: Double): HttpConnection? {
        val now = clock.now()
        while (idle.isNotEmpty() && isTooOld(idle.first(), REUSE_SHARE, now)) idle.removeFirst().connection.close()
        while (idle.isNotEmpty()) {
            val kept = idle.last()
            if (kept.connection.isUsable && isTooOld(kept, share, now)) return null
            idle.removeLast()
            if (kept.connection.isUsable) return kept.connection
            kept.connection.close()
        }
        return null
    }

    private fun isTooOld(kept: Kept, share: Double, now: Duration): Boolean {
        val limit = kept.connection.idleLimitSeconds?.seconds ?: DEFAULT_IDLE_LIMIT
        return now - kept.since > limit * share
    }

    private class Kept(
        val connection: HttpConnection,
        val since: Duration,
    )

    private companion object {
        /** Share of the target's idle limit for which a connection is kept. */
        const val REUSE_SHARE = 0.7

        /** The same for calls that must not be sent twice. */
        const val SURE_REUSE_SHARE = 0.3

        /** Idle limit of targets that name none. */
        val DEFAULT_IDLE_LIMIT = 5.seconds

        /** The target is on this host, and answers are held whole in memory. */
        val LIMITS = HttpClientLimits(connectTimeout = 500.milliseconds, maxAnswerBytes = 64 * 1024 * 1024)
    }
}
