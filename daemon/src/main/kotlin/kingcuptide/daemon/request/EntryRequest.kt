package kingcuptide.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.request.HomeRegionCheck
import kingcuptide.coordination.request.HomeRegions
import kingcuptide.coordination.request.MAX_IDEMPOTENCY_KEY_CHARS
import kingcuptide.coordination.request.checkHomeRegion
import kingcuptide.coordination.request.homeRegionsOf
import kingcuptide.coordination.version.RouteMatch
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.coordination.version.Snapshot
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The validated head of a caller's request, with the snapshot that applies to all its attempts. */
data class EntryRequest(
    val snapshot: Snapshot,
    val routeId: RouteId,
    val route: RouteSpec,
    val slots: Int,
    val workspace: WorkspaceId?,
    val home: HomeRegions,
    val method: String,
    val pathAndQuery: String,
    val idempotent: Boolean,
    val idempotencyKey: String?,
    val timeout: Duration,
)

/** Refusal of a request at the entry. [homeRegions] lists the regions that may serve it, if the region was wrong. */
data class EntryRefusal(
    val code: ResultCode,
    val homeRegions: List<RegionId> = emptyList(),
)

/** Validates the head of [call] against [snapshot]. Returns a refusal before any byte of the body is read. */
internal fun readEntryRequest(
    call: ApplicationCall,
    snapshot: Snapshot,
    region: RegionId,
    maxKeyedDeadline: Duration,
): Result<EntryRequest, EntryRefusal> {
    val method = call.request.httpMethod.value
    val found =
        when (val match = snapshot.match(method, call.request.uri)) {
            is RouteMatch.Found -> match
            is RouteMatch.MethodNotAllowed -> return refused(ResultCode.METHOD_NOT_ALLOWED)
            RouteMatch.UnknownRoute -> return refused(ResultCode.UNKNOWN_ROUTE)
        }
    val workspace = call.request.headers[KingcuptideHeaders.WORKSPACE]?.let(::WorkspaceId)
    workspaceFault(workspace, found.route, snapshot)?.let { return refused(it) }
    val home = homeRegionsOf(found.route, workspace, snapshot.document)
    val elsewhere = checkHomeRegion(region, home)
    if (elsewhere is HomeRegionCheck.WrongRegion) return Err(EntryRefusal(ResultCode.WRONG_REGION, elsewhere.regions))
    if (elsewhere is HomeRegionCheck.NoAllowedRegion) return refused(ResultCode.WRONG_REGION)
    if ((call.request.contentLength() ?: 0) > found.route.maxBodyBytes) return refused(ResultCode.BODY_TOO_LARGE)
    if (!hasReadableContentType(call)) return refused(ResultCode.MALFORMED_REQUEST)
    val key = readKey(call).getOrElse { return Err(it) }
    val timeout = readTimeout(call, found.route).getOrElse { return Err(it) }
    return Ok(
        EntryRequest(
            snapshot = snapshot,
            routeId = found.routeId,
            route = found.route,
            slots = found.service.slots,
            workspace = workspace,
            home = home,
            method = method,
            pathAndQuery = call.request.uri,
            idempotent = found.idempotent,
            idempotencyKey = key,
            timeout = if (key == null || found.idempotent) timeout else minOf(timeout, maxKeyedDeadline),
        ),
    )
}

private fun workspaceFault(workspace: WorkspaceId?, route: RouteSpec, snapshot: Snapshot): ResultCode? =
    when {
        workspace == null -> ResultCode.WORKSPACE_MISSING.takeIf { route.workspaceRequired }
        snapshot.workspace(workspace) == null -> ResultCode.UNKNOWN_WORKSPACE
        else -> null
    }

private fun readKey(call: ApplicationCall): Result<String?, EntryRefusal> {
    val values = call.request.headers.getAll(KingcuptideHeaders.IDEMPOTENCY_KEY) ?: return Ok(null)
    val key = values.singleOrNull()?.trim()
    if (key.isNullOrEmpty() || key.length > MAX_IDEMPOTENCY_KEY_CHARS) return refused(ResultCode.BAD_IDEMPOTENCY_KEY)
    return Ok(key)
}

private fun readTimeout(call: ApplicationCall, route: RouteSpec): Result<Duration, EntryRefusal> {
    val limit = route.timeoutMs.milliseconds
    val text = call.request.headers[KingcuptideHeaders.TIMEOUT_MS] ?: return Ok(limit)
    val requestedMs = text.trim().toLongOrNull()?.takeIf { it > 0 } ?: return refused(ResultCode.BAD_DEADLINE)
    return Ok(minOf(limit, requestedMs.milliseconds))
}

private fun hasReadableContentType(call: ApplicationCall): Boolean {
    val text = call.request.headers[HttpHeaders.ContentType] ?: return true
    return runCatching { ContentType.parse(text) }.isSuccess
}

internal fun isChunked(call: ApplicationCall): Boolean =
    call.request.headers[HttpHeaders.TransferEncoding]?.contains("chunked", ignoreCase = true) == true

private fun refused(code: ResultCode): Result<Nothing, EntryRefusal> = Err(EntryRefusal(code))
