package kingcuptide.daemon.connection

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writeByte
import io.ktor.utils.io.writeFully
import kingcuptide.coordination.connection.ControlEnvelope
import kingcuptide.coordination.connection.ControlMessage
import kingcuptide.coordination.connection.FrameCodec
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.RegionId
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.Direction
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import java.net.InetAddress
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/**
 * Sends and receives control messages: small ones as datagrams, large ones over a connection that closes when idle.
 *
 * Sending never suspends and reports no failure; an undeliverable message is dropped, which the control protocols
 * tolerate.
 */
class ControlTransport(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val codec: FrameCodec,
    private val self: HostId,
    private val region: RegionId,
    private val peers: PeerAddressTable,
    private val metrics: DaemonMetrics,
    private val onMessage: suspend (ControlEnvelope) -> Unit,
) {
    private val datagrams = Channel<Datagram>(MAX_QUEUED_DATAGRAMS)
    private val connections = ConcurrentHashMap<HostId, Channel<ByteArray>>()

    /** Binds the datagram socket and starts to receive. */
    suspend fun start(ip: String, port: Int) {
        val socket = aSocket(selector).udp().bind(InetSocketAddress(ip, port))
        scope.launch { receiveDatagrams(socket) }
        scope.launch { for (datagram in datagrams) runCatching { socket.send(datagram) } }
    }

    fun send(outbound: List<Outbound>) = outbound.forEach { send(it.to, it.message) }

    fun send(to: HostId, message: ControlMessage) {
        val address = peers.find(to) ?: return
        val bytes = codec.encode(ControlEnvelope(self, message)).onFailure(metrics::fault).get() ?: return
        metrics.controlBytes(Direction.SENT, crossesRegion(address), bytes.size)
        if (bytes.size > MAX_DATAGRAM_BYTES) return sendOverConnection(address, bytes)
        val buffer = Buffer().apply { write(bytes) }
        datagrams.trySend(Datagram(buffer, address.socketAddress()))
    }

    /** Receives control frames on a connection opened by a peer, until it closes. */
    suspend fun serveConnection(input: ByteReadChannel) {
        while (true) {
            val payload = input.readPayload(codec).getOrElse { return metrics.fault(it) }
            receive(payload)
        }
    }

    private suspend fun receiveDatagrams(socket: BoundDatagramSocket) {
        for (datagram in socket.incoming) {
            val sender = datagram.address as? InetSocketAddress ?: continue
            val envelope = receive(datagram.packet.readByteArray()) ?: continue
            // Avoids a reverse DNS lookup, which may take seconds.
            val ip = sender.resolveAddress()?.let { InetAddress.getByAddress(it).hostAddress } ?: continue
            peers.recordSender(envelope.from, ip, sender.port)
        }
    }

    private suspend fun receive(payload: ByteArray): ControlEnvelope? {
        val decoded = codec.decodeControl(payload)
        decoded.onFailure(metrics::fault)
        decoded.onSuccess { envelope ->
            metrics.controlBytes(Direction.RECEIVED, crossesRegion(peers.find(envelope.from)), payload.size)
            onMessage(envelope)
        }
        return decoded.get()
    }

    private fun crossesRegion(address: PeerAddress?): Boolean = address?.region != null && address.region != region

    private fun sendOverConnection(address: PeerAddress, bytes: ByteArray) {
        val queue = connections.computeIfAbsent(address.host) { openConnection(address) }
        queue.trySend(bytes)
    }

    private fun openConnection(address: PeerAddress): Channel<ByteArray> {
        val queue = Channel<ByteArray>(MAX_QUEUED_FRAMES)
        scope.launch {
            try {
                writeFrames(address, queue)
            } catch (exception: CancellationException) {
                throw exception
            } catch (_: Exception) {
                // Control messages may be lost; the next one opens a new connection.
            } finally {
                connections.remove(address.host, queue)
                queue.close()
            }
        }
        return queue
    }

    private suspend fun writeFrames(address: PeerAddress, queue: Channel<ByteArray>) {
        val socket = withTimeout(CONNECT_TIMEOUT) { aSocket(selector).tcp().connect(address.socketAddress()) }
        socket.use {
            val output = socket.openWriteChannel(autoFlush = false)
            socket.openReadChannel()
            output.writeByte(ConnectionPurpose.CONTROL.byte)
            while (true) {
                val bytes = withTimeoutOrNull(IDLE_TIMEOUT) { queue.receive() } ?: return
                withTimeout(WRITE_TIMEOUT) {
                    output.writeFully(lengthPrefixOf(bytes))
                    output.writeFully(bytes)
                    output.flush()
                }
            }
        }
    }

    private fun lengthPrefixOf(bytes: ByteArray): ByteArray =
        ByteArray(Int.SIZE_BYTES) { index ->
            (bytes.size ushr (Byte.SIZE_BITS * (Int.SIZE_BYTES - 1 - index))).toByte()
        }

    private companion object {
        const val MAX_DATAGRAM_BYTES = 1_200
        const val MAX_QUEUED_DATAGRAMS = 4_096
        const val MAX_QUEUED_FRAMES = 16
        val CONNECT_TIMEOUT = 1.seconds
        val WRITE_TIMEOUT = 5.seconds
        val IDLE_TIMEOUT = 15.seconds
    }
}
