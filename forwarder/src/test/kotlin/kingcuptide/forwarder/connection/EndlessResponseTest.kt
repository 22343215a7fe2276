package kingcuptide.forwarder.connection

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against servers whose responses never end: each ends within bounds of bytes and time, and is no response. */
internal class EndlessResponseTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop

    @AfterEach
    fun stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `Given a server that sends without end, when it is called, then the call breaks and the connection closes`() {
        val faults = EndlessResponse.entries.associateWith(::faultOf).filterValues { it != null }
        faults.forEach { (response, fault) -> println("$response: $fault") }
        expectThat(faults.keys).isEmpty()
    }

    /** Returns what is wrong with the end of a call that gets [response], or null. */
    private fun faultOf(response: EndlessResponse): String? = FaultyServer(response).use { server ->
        val result = runBlocking { withTimeoutOrNull(MAX_TIME.inWholeMilliseconds) { call(server) } }
        when {
            result == null -> "no end in $MAX_TIME"
            result !is HttpResult.Broken -> "$result"
            !server.isClosedWithin(MAX_TIME) -> "connection still open"
            server.sentBytes.get() > MAX_BYTES -> "${server.sentBytes} bytes read"
            else -> null
        }
    }

    private suspend fun call(server: FaultyServer): HttpResult = withContext(loop.asCoroutineDispatcher()) {
        val connection = HttpConnection.open(loop, server.address, LIMITS)
        val call = HttpCall("GET", "/", listOf("Host" to "h", "Id" to "1"))
        checkNotNull(connection).exchange(call) { it.first("Id") in setOf(null, "1") }
    }

    private companion object {
        /** A head may take 1 s from its first byte; the rest is for a busy machine. */
        val MAX_TIME = 5.seconds
        val LIMITS = HttpClientLimits(connectTimeout = 1.seconds, maxResponseBytes = 100_000)

        /** Twice the longest response for its framing, 256 KiB for heads, and what socket buffers hold. */
        const val MAX_BYTES = 2 * 100_000L + 262_144 + FaultyServer.SOCKET_BUFFER_BYTES
    }
}
