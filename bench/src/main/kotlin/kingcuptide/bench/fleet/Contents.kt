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

/** Generates versions of a document of about [sizeBytes] bytes in canonical form: routes that refer to services. */
class DocumentSeries(
    private val random: Random,
    sizeBytes: Int,
) {
    private val services = (1..SERVICE_COUNT).associate { "service:s$it" to filler() }
    private val routes = (1..sizeBytes / ROUTE_ENTRY_BYTES).associate { "route:r$it" to route() }
    private var entries = services + routes
    private var number = 0L

    /** Returns the next version; all but the first differ from the one before in at most [changedRoutes] routes. */
    fun next(changedRoutes: Int = 2): ResourceContent {
        val names = routes.keys.toList()
        repeat(if (number == 0L) 0 else changedRoutes) { entries = entries + (names.random(random) to route()) }
        number++
        return ResourceContent.of(ResourceKind.DOCUMENT, number, entries)
    }

    /** Returns a version with a route that refers to a missing service. */
    fun nextBad(): ResourceContent {
        number++
        return ResourceContent.of(ResourceKind.DOCUMENT, number, entries + ("route:bad" to "missing;"))
    }

    /** Returns a version larger than [FakePlatform.MAX_VALUE_BYTES]. */
    fun nextHuge(): ResourceContent {
        number++
        val filler = "x".repeat(FakePlatform.MAX_VALUE_BYTES)
        return ResourceContent.of(ResourceKind.DOCUMENT, number, entries + ("route:huge" to "s1;$filler"))
    }

    private fun route(): String = "s${1 + random.nextInt(SERVICE_COUNT)};" + filler()

    private fun filler(): String {
        val words = List(FILLER_WORD_COUNT) { FILLER_VOCABULARY.random(random) + random.nextInt(10_000) }
        return words.joinToString(",", prefix = "{", postfix = "}")
    }

    private companion object {
        const val SERVICE_COUNT = 65
        const val ROUTE_ENTRY_BYTES = 140
        const val FILLER_WORD_COUNT = 9
        val FILLER_VOCABULARY = listOf("path", "timeout", "method", "region", "limit", "slots")
    }
}

/** Returns the number of entries, or a fault for each route that refers to a missing service. */
fun validateDocument(content: ResourceContent): Result<Int, List<ResourceFault>> {
    val broken = content.entries.filter { (key, value) -> key.startsWith("route:") && !content.hasService(value) }.keys
    if (broken.isEmpty()) return Ok(content.entries.size)
    return Err(broken.map { ResourceFault(ResultCode.DOCUMENT_BROKEN_REFERENCE, it) })
}

private fun ResourceContent.hasService(route: String): Boolean = "service:" + route.substringBefore(';') in entries

/** Returns the host list of revision [number] as resource content. */
fun hostListContent(number: Long, hosts: List<HostEntry>): ResourceContent =
    ResourceContent.of(
        ResourceKind.HOST_LIST,
        number,
        hosts.associate { it.host.value to Json.encodeToString(HostEntry.serializer(), it) },
    )

/** Decodes the host list that [hostListContent] encoded. */
fun readHostList(content: ResourceContent): HostList =
    HostList(content.version.number, content.entries.values.map { Json.decodeFromString(HostEntry.serializer(), it) })
