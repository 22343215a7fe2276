package kingcuptide.forwarder.process

import kingcuptide.coordination.version.PublishedItemDecoder
import kingcuptide.forwarder.version.Source

/** The platform-specific parts of a daemon. */
class PlatformAdapter(
    val names: HeaderNames,
    val decoder: PublishedItemDecoder,
    val source: Source,
    val readinessPath: String,
)
