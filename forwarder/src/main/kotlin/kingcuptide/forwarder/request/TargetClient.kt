package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.request.IdleLimit
import kingcuptide.forwarder.connection.BufferLimit
import kingcuptide.forwarder.connection.ConnectFailure
import kingcuptide.forwarder.connection.ExchangeObserver
import kingcuptide.forwarder.connection.Headers
import kingcuptide.forwarder.connection.HttpCall
import kingcuptide.forwarder.connection.HttpClientLimits
import kingcuptide.forwarder.connection.HttpConnection
import kingcuptide.forwarder.connection.HttpResult
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends requests to the target beside this daemon. */
fun interface TargetCalls {
    /**
     * Sends [call] once and returns its result; responses whose headers [accepts] rejects belong to earlier calls and are
     * skipped. [idempotent] allows a connection that the target may be about to close.
     */
    suspend fun call(call: HttpCall, idempotent: Boolean, accepts: (Headers) -> Boolean): HttpResult
}

/**
 * Calls the target beside this daemon over a pool of persistent connections.
 *
 * Sends nothing twice: the entry decides on retries, since it has the retry allowance of the fleet. Used on the event
 * loop.
 *
 * @param observer receives the responses that are passed to no call
 * @param onIdleConnectionEnd called when the target ends a connection on which no call waits
 */
class TargetClient(
    private val loop: EventLoop,
    private val clock: Clock,
    private val address: InetSocketAddress,
    private val observer: ExchangeObserver = ExchangeObserver.NONE,
    private val onIdleConnectionEnd: () -> Unit = {},
) : TargetCalls {
    private val limits = HttpClientLimits(CONNECT_TIMEOUT, MAX_RESPONSE_BYTES, BufferLimit(MAX_BUFFERED_BYTES))
    private val pool = ArrayDeque<PooledConnection>()
    private val idleLimit = IdleLimit(clock)

    override suspend fun call(call: HttpCall, idempotent: Boolean, accepts: (Headers) -> Boolean): HttpResult {
        val pooled = acquirePooled(call, idempotent) ?: return callOnNewConnection(call, accepts)
        val sentAt = clock.now()
        val result = exchange(pooled.connection, call, accepts)
        if (result is HttpResult.Broken &&
            !result.responseStarted
        ) {
            idleLimit.recordConnectionLoss(sentAt - pooled.idleSince, clock.now() - sentAt)
        }
        return if (result is HttpResult.NotSent) callOnNewConnection(call, accepts) else result
    }

    private suspend fun callOnNewConnection(call: HttpCall, accepts: (Headers) -> Boolean): HttpResult {
        var failure = ConnectFailure("connect failed")
        val connection =
            HttpConnection.open(loop, address, limits, observer) { failure = it } ?: return HttpResult.NotSent(failure)
        connection.onIdleEnd(onIdleConnectionEnd)
        return exchange(connection, call, accepts)
    }

    private suspend fun exchange(
        connection: HttpConnection,
        call: HttpCall,
        accepts: (Headers) -> Boolean,
    ): HttpResult {
        try {
            val result = connection.exchange(call, accepts)
            return if (result is HttpResult.Answered) result.copy(endsConnection = !connection.isUsable) else result
        } finally {
            if (connection.isUsable) pool.addLast(PooledConnection(connection, clock.now())) else connection.close()
        }
    }

    /**
     * Acquires the most recently used connection, unless [call] needs a new one; closes those that were idle for too long
     * for any call.
     */
    private fun acquirePooled(call: HttpCall, idempotent: Boolean): PooledConnection? {
        val now = clock.now()
        while (pool.isNotEmpty() && isTooOld(pool.first(), true, now)) pool.removeFirst().connection.close()
        while (pool.isNotEmpty()) {
            val pooled = pool.last()
            if (pooled.connection.isUsable) {
                if (isTooOld(pooled, idempotent, now) || pooled.connection.mayHaveSentIdOf(call)) return null
                return pool.removeLast()
            }
            pool.removeLast().connection.close()
        }
        return null
    }

    private fun isTooOld(pooled: PooledConnection, idempotent: Boolean, now: Duration): Boolean {
        val advertisedLimit = pooled.connection.idleLimitSeconds?.seconds ?: DEFAULT_IDLE_LIMIT
        return now - pooled.idleSince > idleLimit.maxIdleTime(advertisedLimit, idempotent)
    }

    private class PooledConnection(
        val connection: HttpConnection,
        val idleSince: Duration,
    )

    private companion object {
        /** Idle limit of targets that advertise none. */
        val DEFAULT_IDLE_LIMIT = 5.seconds

        /** The target is on this host, so connecting is fast. */
        val CONNECT_TIMEOUT = 500.milliseconds

        /** Responses are buffered whole, so longer ones, or several long ones at once, would fill the heap of 96 MiB. */
        const val MAX_RESPONSE_BYTES = 16 * 1024 * 1024
        const val MAX_BUFFERED_BYTES = 32L * 1024 * 1024
    }
}
