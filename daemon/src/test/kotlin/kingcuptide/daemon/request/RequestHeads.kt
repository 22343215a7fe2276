package kingcuptide.daemon.request

import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.RouteId

/** A request without a body, as it arrives at a gate. */
internal fun requestHead(method: String, idempotent: Boolean, keyHash: String?): RequestHead =
    RequestHead(
        number = 1,
        gateTimestampMs = 0,
        remainingMs = 5_000,
        version = 1,
        route = RouteId("parcels"),
        workspace = null,
        method = method,
        pathAndQuery = "/parcels/1",
        headers = emptyList(),
        idempotent = idempotent,
        keyHash = keyHash,
        hasBody = false,
    )
