package kingcuptide.forwarder.process

import kingcuptide.coordination.version.PublishedItemDecoder
import kingcuptide.forwarder.version.Source

/** What the adapter to a platform brings. */
class PlatformAdapter(
    val names: HeaderNames,
    val decoder: PublishedItemDecoder,
    val source: Source,
    val readinessPath: String,
)
