package kingcuptide.forwarder.process

import kingcuptide.coordination.version.FactDecoder
import kingcuptide.forwarder.version.Source

/** What the adapter to a platform brings. */
class PlatformParts(
    val names: HeaderNames,
    val decoder: FactDecoder,
    val source: Source,
    val readinessPath: String,
)
