package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kingcuptide.coordination.process.systemClock
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.ServiceTraits
import kingcuptide.forwarder.connection.EndlessResponse
import kingcuptide.forwarder.connection.FaultyServer
import kingcuptide.forwarder.process.HeaderNames
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Guards against targets that accept health checks and never end their response: each counts as down. */
internal class FaultyTargetTest {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val scope = CoroutineScope(loop.asCoroutineDispatcher() + Job())
    private val clock = systemClock()

    @AfterEach
    fun stop() {
        scope.cancel()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `Given targets whose responses never end, when their health is checked, then each is down`() {
        val servers = (EndlessResponse.entries - COMPLETE).associateWith { FaultyServer(it) }
        val down = servers.mapValues { (_, server) -> CountDownLatch(1).also { startMonitor(server, it) } }
        val stillUp = down.filterValues { !it.await(MAX_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS) }
        servers.values.forEach { it.close() }
        expectThat(stillUp.keys).isEmpty()
    }

    /** Guards against a target whose health is checked no more after one error of this program. */
    @Test
    fun `Given an error in a check, when the next checks get no response, then the target is down`() {
        val down = CountDownLatch(1)
        val errors = ArrayDeque(listOf(NoSuchElementException("test"), StackOverflowError()))
        FaultyServer(EndlessResponse.NOT_HTTP).use { server ->
            startMonitor(server, down) { errors.removeFirstOrNull()?.let { throw it } ?: TRAITS }
            expectThat(down.await(MAX_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)).isTrue()
        }
    }

    private fun startMonitor(server: FaultyServer, down: CountDownLatch, traits: () -> ServiceTraits = { TRAITS }) {
        val gate = TargetGate(clock)
        val notices = TargetNotices(clock, NAMES, gate) { }
        val monitor =
            TargetMonitor(loop, scope, clock, server.address, NAMES, gate, notices, traits, { down.countDown() })
        monitor.start()
    }

    private companion object {
        /** A target is down after 1.5 s without a response, found by checks of at most 1 s; the rest is reserve. */
        val MAX_TIME = 8.seconds

        /** A health check has no id, so each of these is a response to it. */
        val COMPLETE = EndlessResponse.RESPONSES_TO_ANOTHER
        val TRAITS = ServiceTraits("/health", 1.seconds, 10.0)
        val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
    }
}
