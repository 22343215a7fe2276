package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.version.digestOf

/** Greatest length of an idempotency key that a caller may send. */
public const val MAX_IDEMPOTENCY_KEY_CHARS: Int = 256

/** Digests [key] with the workspace and route that it is meant for; the key itself is never stored or sent on. */
public fun keyHash(
    workspace: WorkspaceId?,
    route: RouteId,
    key: String,
): String = digestOf(sequenceOf(workspace?.value.orEmpty(), route.value, key)).hex.take(KEY_HASH_CHARS)

private const val KEY_HASH_CHARS = 32
