package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.IdleLimit
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpClientLimits
import kingcuptide.forwarder.connection.HttpConnection
import kingcuptide.forwarder.connection.HttpResult
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
    private val idleLimit = IdleLimit(clock)

    suspend fun call(call: HttpCall, idempotent: Boolean, accepts: (Headers) -> Boolean): HttpResult {
        val kept = takeIdle(idempotent) ?: return callAnew(call, accepts)
        val sentAt = clock.now()
        val end = exchange(kept.connection, call, accepts)
        if (end is HttpResult.Broken &&
            !end.begun
        ) {
            idleLimit.recordConnectionLoss(sentAt - kept.since, clock.now() - sentAt)
        }
        return if (end is HttpResult.NotSent) callAnew(call, accepts) else end
    }

    private suspend fun callAnew(call: HttpCall, accepts: (Headers) -> Boolean): HttpResult {
        var failure = "connect failed"
        val connection =
            HttpConnection.open(loop, address, LIMITS) { failure = it } ?: return HttpResult.NotSent(failure)
        return exchange(connection, call, accepts)
    }

    private suspend fun exchange(
        connection: HttpConnection,
        call: HttpCall,
        accepts: (Headers) -> Boolean,
    ): HttpResult {
        val end = connection.exchange(call, accepts)
        if (connection.isUsable) idle.addLast(Kept(connection, clock.now())) else connection.close()
        return end
    }

    /** Takes the connection used last; those that rested too long for any call are closed. */
    private fun takeIdle(idempotent: Boolean): Kept? {
        val now = clock.now()
        while (idle.isNotEmpty() && isTooOld(idle.first(), true, now)) idle.removeFirst().connection.close()
        while (idle.isNotEmpty()) {
            val kept = idle.last()
            if (kept.connection.isUsable && isTooOld(kept, idempotent, now)) return null
            idle.removeLast()
            if (kept.connection.isUsable) return kept
            kept.connection.close()
        }
        return null
    }

    private fun isTooOld(kept: Kept, idempotent: Boolean, now: Duration): Boolean {
        val stated = kept.connection.idleLimitSeconds?.seconds ?: DEFAULT_IDLE_LIMIT
        return now - kept.since > idleLimit.maxIdleTime(stated, idempotent)
    }

    private class Kept(
        val connection: HttpConnection,
        val since: Duration,
    )

    private companion object {
        /** Idle limit of targets that name none. */
        val DEFAULT_IDLE_LIMIT = 5.seconds

        /** The target is on this host, and answers are held whole in memory. */
        val LIMITS = HttpClientLimits(connectTimeout = 500.milliseconds, maxResponseBytes = 64 * 1024 * 1024)
    }
}
