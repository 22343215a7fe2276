package kingcuptide.coordination.connection

import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.request.Outcome

internal val sampleHead = RequestHead(
    number = 4_711,
    gateTimestampMs = 123_456_789,
    remainingMs = 4_900,
    version = 1_234,
    route = RouteId("storting"),
    workspace = WorkspaceId("school-12"),
    method = "POST",
    pathAndQuery = "/storting/2024?class=3b",
    headers = List(8) { Header("X-Header-$it", "value $it of a header") },
    idempotent = false,
    keyHash = "00112233445566778899aabbccddeeff",
    hasBody = true,
)

internal val sampleLoad = GateLoad(inFlight = 7, limit = 10, queued = 2)

internal val sampleFrames: List<RequestFrame> = listOf(
    Hello(PROTOCOL_VERSION, HostId("host-1"), Incarnation(17)),
    GateTimestamp(42),
    GateTimestampRequest,
    sampleHead,
    sampleHead.copy(workspace = null, keyHash = null, headers = emptyList()),
    BodyChunk(4_711, ByteArray(300) { it.toByte() }, last = true),
    BodyChunk(4_711, ByteArray(0), last = true),
    Window(4_711, MAX_CHUNK_BYTES),
    ResponseHead(4_711, status = 201, headers = listOf(Header("Location", "/a/b")), load = sampleLoad),
    Refusal(4_711, ResultCode.TARGET_FULL.number, Outcome.NOT_RUN, retryAfterMs = 250, load = sampleLoad),
    ResponseAbort(4_711, ResultCode.ANSWER_TRUNCATED.number),
    Cancel(4_711),
)

private val sampleClaim = ClaimId(HostId("host-1"), Incarnation(17), 9)

internal val sampleControl: List<ControlMessage> = listOf(
    KeyClaim("00112233", sampleClaim, listOf(HostId("a"), null, HostId("c")), setOf(RegionId("north")), 4_000),
    KeyGrant("00112233", sampleClaim),
    KeyRefusal("00112233", sampleClaim, KeyRefusalReason.HELD, retryAfterMs = 5, status = 201),
    KeyCompleted("00112233", sampleClaim, status = 201),
    KeyRelease("00112233", sampleClaim),
)
