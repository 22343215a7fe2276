package kingcuptide.forwarder.request

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.systemClock
import kingcuptide.coordination.request.CrashSuspects
import kingcuptide.coordination.request.TargetGate
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.HeaderNames
import kingcuptide.forwarder.process.LoopDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A gate that calls the target at [address] over real sockets, with the dispatcher of a daemon. */
internal class SocketGate(address: InetSocketAddress, slots: Int = 1) : AutoCloseable {
    private val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    private val scope = CoroutineScope(LoopDispatcher(loop) + Job())
    private val clock = systemClock()
    private val gate = TargetGate(clock).apply {
        this.slots = slots
        coldFor(Duration.ZERO)
    }
    private val service = GateService(
        scope,
        clock,
        gate,
        TargetClient(loop, clock, address),
        NAMES,
        { ID },
        NoTargetObserver,
        TargetNotices(clock, NAMES, gate) { },
        CrashSuspects(HostId("h"), 1, clock),
        RunningRequests(clock),
        DaemonMetrics(),
    )

    /** Submits a request for each of [ids] in one turn of the event loop, and returns their results. */
    fun submit(vararg ids: String, method: String = "GET"): List<ForwardResult> {
        val results = ids.map { CompletableFuture<ForwardResult>() }
        loop.execute { ids.zip(results) { id, result -> service.submit(callOf(id, method), result::complete) } }
        return results.map { it.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS) }
    }

    override fun close() {
        scope.cancel()
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    private fun callOf(id: String, method: String) = ForwardCall(
        id,
        method,
        "/",
        listOf("Id" to id),
        NO_BYTES,
        3.seconds,
        1.seconds,
        1.seconds,
        RouteId("r"),
        1,
        idempotent = true,
        ID,
    )

    companion object {
        private const val MAX_WAIT_SECONDS = 5L
        private val ID = TargetId("t")
        val NAMES =
            HeaderNames("Id", "Left", "Caller", "Expected", "Not-Run", "Proof", "Target", "Cold", "Rate", "Leaving")
    }
}
