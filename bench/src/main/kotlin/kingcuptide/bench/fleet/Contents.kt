package kingcuptide.bench.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.ResourceContent
import kingcuptide.coordination.version.ResourceFault
import kingcuptide.coordination.version.ResourceKind
import kotlinx.serialization.json.Json
import kotlin.random.Random

/** Makes documents of a given size in the canonical form: routes that name services. */
class DocumentSeries(
    private val random: Random,
    sizeBytes: Int,
) {
    private val services = (1..SERVICES).associate { "service:s$it" to filler() }
    private val routes = (1..sizeBytes / ENTRY_BYTES).associate { "route:r$it" to route() }
    private var entries = services + routes
    private var number = 0L

    /** Returns the first version, and after that one that differs from the last in [changedRoutes] routes. */
    fun next(changedRoutes: Int = 2): ResourceContent {
        val names = routes.keys.toList()
        repeat(if (number == 0L) 0 else changedRoutes) { entries = entries + (names.random(random) to route()) }
        number++
        return ResourceContent.of(ResourceKind.DOCUMENT, number, entries)
    }

    /** Returns a version with a route whose service does not exist. */
    fun nextBad(): ResourceContent {
        number++
        return ResourceContent.of(ResourceKind.DOCUMENT, number, entries + ("route:bad" to "missing;"))
    }

    /** Returns a version that is larger than the platform allows. */
    fun nextHuge(): ResourceContent {
        number++
        val filler = "x".repeat(FakePlatform.MAX_VALUE_BYTES)
        return ResourceContent.of(ResourceKind.DOCUMENT, number, entries + ("route:huge" to "s1;$filler"))
    }

    private fun route(): String = "s${1 + random.nextInt(SERVICES)};" + filler()

    private fun filler(): String {
        val words = List(FILLER_WORDS) { WORDS.random(random) + random.nextInt(10_000) }
        return words.joinToString(",", prefix = "{", postfix = "}")
    }

    private companion object {
        const val SERVICES = 65
        const val ENTRY_BYTES = 140
        const val FILLER_WORDS = 9
        val WORDS = listOf("path", "timeout", "method", "region", "limit", "slots")
    }
}

/** Checks that every route of a document names a service that the document has. */
fun validateDocument(content: ResourceContent): Result<Int, List<ResourceFault>> {
    val broken = content.entries.filter { (key, value) -> key.startsWith("route:") && !content.hasService(value) }.keys
    if (broken.isEmpty()) return Ok(content.entries.size)
    return Err(broken.map { ResourceFault(ResultCode.DOCUMENT_BROKEN_REFERENCE, it) })
}

private fun ResourceContent.hasService(route: String): Boolean = "service:" + route.substringBefore(';') in entries

/** Returns the content of the host list [number]. */
fun hostListContent(number: Long, hosts: List<HostEntry>): ResourceContent =
    ResourceContent.of(
        ResourceKind.HOST_LIST,
        number,
        hosts.associate { it.host.value to Json.encodeToString(HostEntry.serializer(), it) },
    )

/** Reads what [hostListContent] made. */
fun readHostList(content: ResourceContent): HostList =
    HostList(content.version.number, content.entries.values.map { Json.decodeFromString(HostEntry.serializer(), it) })
