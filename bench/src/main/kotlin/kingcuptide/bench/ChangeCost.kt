package kingcuptide.bench

import com.github.michaelbull.result.get
import kingcuptide.bench.fleet.DocumentSeries
import kingcuptide.bench.fleet.validateDocument
import kingcuptide.coordination.version.deflatePayloadCodec
import kingcuptide.coordination.version.deltaTo
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Returns a line with the cost of one change for one daemon: processor time, and bytes of the delta and in full. */
fun measureChangeCost(seed: Int, documentBytes: Int): String {
    val codec = deflatePayloadCodec()
    val documents = DocumentSeries(Random(seed), documentBytes)
    val base = documents.next()
    val target = documents.next()
    val delta = codec.encodeDelta(base.deltaTo(target))
    val whole = codec.encodeWhole(target)
    val receiveMs = cpuMs { codec.decodeDelta(base, delta).get()?.let { validateDocument(it) } }
    val relayMs = cpuMs { codec.encodeDelta(base.deltaTo(target)) }
    val wholeMs = cpuMs { codec.decodeWhole(whole) }
    return "row=change_cost document_bytes=$documentBytes receive_cpu_ms=$receiveMs relay_cpu_ms=$relayMs " +
        "receive_whole_cpu_ms=$wholeMs delta_bytes=${delta.size} whole_bytes=${whole.size} seed=$seed"
}

private fun cpuMs(action: () -> Unit): Double {
    val threads = ManagementFactory.getThreadMXBean()
    repeat(WARM_UP_ROUNDS) { action() }
    val start = threads.currentThreadCpuTime
    repeat(MEASURED_ROUNDS) { action() }
    return (threads.currentThreadCpuTime - start) / MEASURED_ROUNDS / NANOS_PER_MS
}

private const val WARM_UP_ROUNDS = 20
private const val MEASURED_ROUNDS = 20
private const val NANOS_PER_MS = 1e6
