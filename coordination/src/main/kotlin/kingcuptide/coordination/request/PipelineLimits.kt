package kingcuptide.coordination.request

/**
 * Bounds of what one connection of a caller may have in progress.
 *
 * @property maxRequests requests that have arrived and whose responses are not written
 * @property maxRequestBytes bytes of requests that have arrived and have not finished; a single request may have more
 * @property maxHeldBytes bytes of held responses from which on no request is started early
 */
public data class PipelineLimits(
    val maxRequests: Int = 16,
    val maxRequestBytes: Long = 256L * 1024,
    val maxHeldBytes: Long = 1024L * 1024,
)
