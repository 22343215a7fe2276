package kingcuptide.bench.keys

import com.github.michaelbull.result.unwrap
import kingcuptide.bench.requests.VirtualTime
import kingcuptide.coordination.connection.BodyChunk
import kingcuptide.coordination.connection.ClaimId
import kingcuptide.coordination.connection.ControlEnvelope
import kingcuptide.coordination.connection.GateLoad
import kingcuptide.coordination.connection.GateTimestamp
import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.connection.KeyClaim
import kingcuptide.coordination.connection.KeyGrant
import kingcuptide.coordination.connection.KeyMessage
import kingcuptide.coordination.connection.LENGTH_PREFIX_BYTES
import kingcuptide.coordination.connection.RequestFrame
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.connection.ResponseHead
import kingcuptide.coordination.connection.frameCodec
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.request.KeySettings
import kingcuptide.coordination.request.keyHash
import kingcuptide.coordination.request.keyWitness
import kotlin.time.Duration.Companion.seconds

/** Measures what frames and claims cost one daemon. Every result is a line of key=value. */
class KeyCosts(
    private val shape: KeyFleetShape,
    private val rounds: Int,
    private val report: (String) -> Unit,
) {
    private val codec = frameCodec()
    private val view = shape.view()
    private val time = VirtualTime()
    private val settings = KeySettings(maxRecords = Int.MAX_VALUE)

    /** Measures the codec on typical frames. */
    fun frames() {
        for ((name, frame) in sampleFrames()) {
            val encoded = codec.encode(frame).unwrap()
            val payload = encoded.copyOfRange(LENGTH_PREFIX_BYTES, encoded.size)
            val encodeNs = nsPerRound { codec.encode(frame) }
            val decodeNs = nsPerRound { codec.decodeRequestFrame(payload) }
            report("frame=$name bytes=${encoded.size} encode_ns=$encodeNs decode_ns=$decodeNs")
        }
        for ((name, message) in sampleMessages()) {
            val envelope = ControlEnvelope(HostId("host-1000"), message)
            val payload = codec.encode(envelope).unwrap()
            val encodeNs = nsPerRound { codec.encode(envelope) }
            val decodeNs = nsPerRound { codec.decodeControl(payload) }
            report("message=$name bytes=${payload.size} encode_ns=$encodeNs decode_ns=$decodeNs")
        }
    }

    /** Measures a claim from start to completion at a fleet of the given shape, and what crosses the network for it. */
    fun claims() {
        val cluster = KeyCluster(shape, settings, time)
        cluster.passHoldOff()
        val hashes = List(rounds) { keyHash(WorkspaceId("workspace"), RouteId("route"), "key-$it") }
        var granted = 0
        repeat(WARM_UP_ROUNDS) { cluster.claim(hashes[it % rounds] + it) { granted++ } }
        cluster.resetCounts()
        val started = System.nanoTime()
        hashes.forEach { hash -> cluster.claim(hash) { granted++ } }
        val perClaimNs = (System.nanoTime() - started) / rounds
        val messages = cluster.messages.toDouble() / rounds
        val bytes = cluster.bytesOf(hashes.last() + "again")
        report("claims=$rounds granted=${granted - WARM_UP_ROUNDS} all_daemons_ns_per_claim=$perClaimNs")
        report("messages_per_keyed_request=${"%.3f".format(messages)} bytes_per_keyed_request=$bytes")
        val witnessesNs = nsPerRound { view.witnesses(hashes[0], emptySet()) }
        report("witnesses_of_a_key_ns=$witnessesNs hosts=${shape.hosts} failure_domains=${shape.failureDomains}")
    }

    /** Measures the memory that a witness spends on each key it remembers. */
    fun memory() {
        val witness = keyWitness(HostId("host-0"), time, settings)
        val single = KeyFleetShape(hosts = 3, failureDomains = 3).view()
        repeat((settings.holdOff / settings.viewFreshness).toInt() + 2) {
            witness.confirm(single)
            time.runUntil(time.now() + settings.viewFreshness)
        }
        val slots = single.witnesses("k", emptySet())
        val before = usedBytes()
        repeat(REMEMBERED) {
            val hash = keyHash(WorkspaceId("workspace"), RouteId("route"), "key-$it")
            val claim = ClaimId(HostId("host-${it % 1_100}".intern()), Incarnation(1), it.toLong())
            val inOrder = single.witnesses(hash, emptySet())
            witness.receive(claim.gate, KeyClaim(hash, claim, inOrder, emptySet(), remainingMs = 5_000))
        }
        val perKey = (usedBytes() - before).toDouble() / REMEMBERED
        check(witness.counters().records == REMEMBERED && slots.isNotEmpty())
        report("remembered_keys=$REMEMBERED bytes_per_remembered_key=${"%.0f".format(perKey)}")
        for (percent in listOf(5, 20, 100)) {
            val kept = CALLS_PER_SECOND * percent / 100 * WITNESSES / shape.hosts * KEPT_SECONDS
            report("keyed_percent=$percent records_per_daemon=${kept.toInt()} mb=${"%.2f".format(kept * perKey / 1e6)}")
        }
    }

    private fun nsPerRound(block: () -> Unit): Long {
        var best = Long.MAX_VALUE
        repeat(REPEATS) {
            val started = System.nanoTime()
            repeat(rounds) { block() }
            best = minOf(best, (System.nanoTime() - started) / rounds)
        }
        return best
    }

    private fun usedBytes(): Long {
        repeat(GARBAGE_COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    private fun sampleFrames(): Map<String, RequestFrame> = mapOf(
        "stamp" to GateTimestamp(123_456_789),
        "request_head" to requestHead(),
        "answer_head" to ResponseHead(4_711, 201, headers(4), GateLoad(inFlight = 7, limit = 10, queued = 2)),
        "body_chunk_1k" to BodyChunk(4_711, ByteArray(1_024), last = true),
        "body_chunk_16k" to BodyChunk(4_711, ByteArray(16_384), last = false),
    )

    private fun sampleMessages(): Map<String, KeyMessage> {
        val hash = keyHash(WorkspaceId("workspace"), RouteId("route"), "key")
        val claim = ClaimId(HostId("host-1000"), Incarnation(1_700_000_000_000), 123_456)
        return mapOf(
            "key_claim" to KeyClaim(hash, claim, view.witnesses(hash, emptySet()), emptySet(), remainingMs = 4_900),
            "key_grant" to KeyGrant(hash, claim),
        )
    }

    private fun requestHead() = RequestHead(
        number = 4_711,
        gateTimestampMs = 123_456_789,
        remainingMs = 4_900,
        version = 1_234,
        route = RouteId("storting"),
        workspace = WorkspaceId("school-12"),
        method = "POST",
        pathAndQuery = "/storting/2024?class=3b",
        headers = headers(8),
        idempotent = false,
        keyHash = keyHash(null, RouteId("storting"), "key"),
        hasBody = true,
    )

    private fun headers(count: Int) = List(count) { Header("X-Header-$it", "value $it of a header") }

    private companion object {
        const val REPEATS = 5
        const val WARM_UP_ROUNDS = 20_000
        const val REMEMBERED = 100_000
        const val GARBAGE_COLLECTIONS = 4
        const val CALLS_PER_SECOND = 190_000.0
        const val WITNESSES = 3
        val KEPT_SECONDS = (KeySettings().resendWindow + KeySettings().maxStartDelay + 5.seconds).inWholeSeconds
    }
}
