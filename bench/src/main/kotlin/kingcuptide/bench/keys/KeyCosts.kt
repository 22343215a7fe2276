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

/** Measures the processor time, bytes and memory that frames and key claims cost. Reports lines of key=value pairs. */
class KeyCosts(
    private val shape: KeyFleetShape,
    private val rounds: Int,
    private val report: (String) -> Unit,
) {
    private val codec = frameCodec()
    private val view = shape.view()
    private val time = VirtualTime()
    private val settings = KeySettings(maxRecords = Int.MAX_VALUE)

    /** Measures encoding and decoding of typical frames and control messages. */
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

    /** Measures the processor time of a claim from start to completion on all daemons, and its network traffic. */
    fun claims() {
        val cluster = KeyCluster(shape, settings, time)
        cluster.waitForHoldOff()
        val hashes = List(rounds) { keyHash(WorkspaceId("workspace"), RouteId("route"), "key-$it") }
        var granted = 0
        repeat(WARM_UP_CLAIMS) { cluster.claim(hashes[it % rounds] + it) { granted++ } }
        cluster.resetMessageCount()
        val started = System.nanoTime()
        hashes.forEach { hash -> cluster.claim(hash) { granted++ } }
        val perClaimNs = (System.nanoTime() - started) / rounds
        val messages = cluster.messageCount.toDouble() / rounds
        val bytes = cluster.claimBytes(hashes.last() + "again")
        report("claims=$rounds granted=${granted - WARM_UP_CLAIMS} all_daemons_ns_per_claim=$perClaimNs")
        report("messages_per_keyed_request=${"%.3f".format(messages)} bytes_per_keyed_request=$bytes")
        val witnessesNs = nsPerRound { view.witnesses(hashes[0], emptySet()) }
        report("witnesses_of_a_key_ns=$witnessesNs hosts=${shape.hosts} failure_domains=${shape.failureDomains}")
    }

    /** Measures the memory of a witness for each count key. */
    fun memory() {
        val witness = keyWitness(HostId("host-0"), time, settings)
        val threeHosts = KeyFleetShape(hosts = 3, failureDomains = 3).view()
        repeat((settings.holdOff / settings.viewFreshness).toInt() + 2) {
            witness.confirm(threeHosts)
            time.runUntil(time.now() + settings.viewFreshness)
        }
        val witnesses = threeHosts.witnesses("k", emptySet())
        val before = usedBytes()
        repeat(STORED_KEY_COUNT) {
            val hash = keyHash(WorkspaceId("workspace"), RouteId("route"), "key-$it")
            val claim = ClaimId(HostId("host-${it % 1_100}".intern()), Incarnation(1), it.toLong())
            val inOrder = threeHosts.witnesses(hash, emptySet())
            witness.receive(claim.gate, KeyClaim(hash, claim, inOrder, emptySet(), remainingMs = 5_000))
        }
        val perKey = (usedBytes() - before).toDouble() / STORED_KEY_COUNT
        check(witness.counters().records == STORED_KEY_COUNT && witnesses.isNotEmpty())
        report("remembered_keys=$STORED_KEY_COUNT bytes_per_remembered_key=${"%.0f".format(perKey)}")
        for (percent in listOf(5, 20, 100)) {
            val count = FLEET_CALLS_PER_SECOND * percent / 100 * WITNESSES_PER_KEY / shape.hosts * RECORD_SECONDS
            report(
                "keyed_percent=$percent records_per_daemon=${count.toInt()} mb=${"%.2f".format(count * perKey / 1e6)}",
            )
        }
    }

    private fun nsPerRound(block: () -> Unit): Long {
        var best = Long.MAX_VALUE
        repeat(MEASUREMENT_REPEATS) {
            val started = System.nanoTime()
            repeat(rounds) { block() }
            best = minOf(best, (System.nanoTime() - started) / rounds)
        }
        return best
    }

    private fun usedBytes(): Long {
        repeat(GARBAGE_COLLECTION_RUNS) { System.gc() }
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
        const val MEASUREMENT_REPEATS = 5
        const val WARM_UP_CLAIMS = 20_000
        const val STORED_KEY_COUNT = 100_000
        const val GARBAGE_COLLECTION_RUNS = 4
        const val FLEET_CALLS_PER_SECOND = 190_000.0
        const val WITNESSES_PER_KEY = 3
        val RECORD_SECONDS = (KeySettings().resendWindow + KeySettings().maxStartDelay + 5.seconds).inWholeSeconds
    }
}
