package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.version.digestOf

/** Maximum length of an idempotency key that a caller may send. */
public const val MAX_IDEMPOTENCY_KEY_CHARS: Int = 256

/** Returns a digest of [key] with its workspace and route; the key itself is never stored or forwarded. */
public fun keyHash(
    workspace: WorkspaceId?,
    route: RouteId,
    key: String,
): String = digestOf(sequenceOf(workspace?.value.orEmpty(), route.value, key)).hex.take(KEY_HASH_CHARS)

private const val KEY_HASH_CHARS = 32
