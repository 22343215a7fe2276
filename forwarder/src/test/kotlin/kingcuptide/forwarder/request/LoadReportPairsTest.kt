package kingcuptide.forwarder.request

import io.netty.channel.embedded.EmbeddedChannel
import kingcuptide.coordination.request.DemandEstimate
import kingcuptide.coordination.request.GateLoadReport
import kingcuptide.forwarder.connection.PeerCodec
import kingcuptide.forwarder.connection.PeerFrame
import kingcuptide.forwarder.connection.PeerMessage
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class LoadReportPairsTest {
    private val report = GateLoadReport(3, 1, 10, 20.milliseconds, cold = false)

    private fun throughCodec(sent: GateLoadReport): Pair<GateLoadReport, Int> {
        val channel = EmbeddedChannel(PeerCodec())
        channel.writeOutbound(PeerFrame(PeerMessage.OutcomeUnknown(1, 300, sent.toMessage())))
        val bytes = channel.readOutbound<io.netty.buffer.ByteBuf>()
        val size = bytes.readableBytes()
        channel.writeInbound(bytes)
        val message = channel.readInbound<PeerFrame>().message as PeerMessage.OutcomeUnknown
        return message.loadReport.toGateLoadReport() to size
    }

    @Test
    fun `Given run times and demand, when a report crosses the wire, then both arrive, rounded`() {
        val sent = report.copy(
            runTimes = mapOf(-7 to 12.3.milliseconds, 9 to 5.milliseconds),
            demand = mapOf(
                4 to DEMAND,
            ),
        )
        expectThat(throughCodec(sent).first).isEqualTo(sent)
    }

    @Test
    fun `Given a report without them, when it crosses the wire, then it is as short as before and has none`() {
        val (received, size) = throughCodec(report)
        val (_, sizeWithFour) = throughCodec(
            report.copy(
                runTimes = (1..4).associate {
                    it.shl(28) to 120.milliseconds
                },
            ),
        )
        println("bytes: $size without run times, $sizeWithFour with four")
        expectThat(received).isEqualTo(report)
    }

    /** Guards against an entry that takes a brief report for that of a gate which has lost its run times. */
    @Test
    fun `Given a brief report, when it arrives, then the run times of the one before still hold`() {
        val runTimes = mapOf(7 to 5.milliseconds)
        val whole = report.copy(runTimes = runTimes, demand = mapOf(4 to DEMAND)).toMessage()
        expectThat(whole.brief().toGateLoadReport(runTimes)).isEqualTo(report.copy(runTimes = runTimes))
        expectThat(whole.toGateLoadReport(mapOf(8 to 5.milliseconds)).runTimes).isEqualTo(runTimes)
    }

    @Test
    fun `Given an incomplete pair, when it is read, then the field is ignored`() {
        expectThat(toRunTimes(listOf(1, 2, 3))).isEmpty()
        expectThat(toDemand(listOf(1, 2))).isEmpty()
        expectThat(toRunTimes(listOf(1, 0))).isEqualTo(mapOf(1 to Duration.ZERO))
    }

    @Test
    fun `Given calls, when they are read, then those that are incomplete or out of range are unknown`() {
        expectThat(toCalls(flattenCalls(mapOf(7 to 2, -9 to 1)))).isEqualTo(mapOf(7 to 2, -9 to 1))
        expectThat(toCalls(emptyList())).isEqualTo(emptyMap())
        expectThat(toCalls(listOf(1))).isNull()
        expectThat(toCalls(listOf(1, -1))).isNull()
    }

    private companion object {
        val DEMAND = DemandEstimate(mean = 1.5, trend = -0.25, variance = 0.125)
    }
}
