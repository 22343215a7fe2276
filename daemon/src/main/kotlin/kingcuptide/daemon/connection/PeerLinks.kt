package kingcuptide.daemon.connection

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.writeByte
import kingcuptide.coordination.connection.FrameCodec
import kingcuptide.coordination.connection.HeadDraft
import kingcuptide.coordination.connection.Hello
import kingcuptide.coordination.connection.entryConnection
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.ResultCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** The request connections of this daemon: one to each gate it has used, and an in-process pipe to its own gate. */
class PeerLinks(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val codec: FrameCodec,
    private val clock: Clock,
    private val hello: Hello,
    private val onFault: (ResultCode) -> Unit,
    private val serveLocally: (FramePipe) -> Unit,
    private val onUnreachable: (HostId) -> Unit,
) {
    private val holders = ConcurrentHashMap<HostId, LinkHolder>()

    /** Starts an attempt at the gate on [host], over the open connection or a new one. */
    suspend fun attempt(host: HostEntry, draft: HeadDraft, body: ReceiveChannel<ByteArray>?): Attempt {
        val link = holders.computeIfAbsent(host.host) { LinkHolder() }.link(host) ?: return unreachable(host)
        return link.attempt(draft, body)
    }

    /** Closes the connections to hosts that are not in [hosts]. */
    fun retain(hosts: Set<HostId>) {
        val removed = holders.keys - hosts
        removed.forEach { holders.remove(it)?.close() }
    }

    private fun unreachable(host: HostEntry): Attempt {
        onUnreachable(host.host)
        return FailedAttempt(ResultCode.PEER_UNREACHABLE)
    }

    private suspend fun open(host: HostEntry): EntryLink? {
        val pipe = if (host.host == hello.host) localPipe() else connect(host) ?: return null
        return EntryLink(scope, pipe, entryConnection(clock), hello, onFault).apply { start() }
    }

    private fun localPipe(): FramePipe {
        val ends = MemoryPipe.pair()
        serveLocally(ends.gate)
        return ends.entry
    }

    private suspend fun connect(host: HostEntry): FramePipe? =
        try {
            val address = InetSocketAddress(host.ip, host.peerPort)
            val socket = withTimeout(CONNECT_TIMEOUT) { aSocket(selector).tcp().connect(address) { noDelay = true } }
            val output = socket.openWriteChannel(autoFlush = false)
            output.writeByte(ConnectionPurpose.REQUESTS.byte)
            SocketPipe(socket, socket.openReadChannel(), output, codec, onFault)
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            null
        } catch (_: Exception) {
            null
        }

    private inner class LinkHolder {
        private val openingMutex = Mutex()

        @Volatile
        private var current: EntryLink? = null

        suspend fun link(host: HostEntry): EntryLink? {
            current?.takeIf { it.isOpen }?.let { return it }
            return openingMutex.withLock {
                current?.takeIf { it.isOpen } ?: open(host).also { current = it }
            }
        }

        fun close() {
            current?.close()
        }
    }

    private companion object {
        val CONNECT_TIMEOUT = 500.milliseconds
    }
}
