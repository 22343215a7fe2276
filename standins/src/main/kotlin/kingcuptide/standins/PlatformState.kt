package kingcuptide.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** Behaviour of the platform stand-in. */
enum class PlatformMode {
    /** Responds with the newest value. */
    UP,

    /** Fails every call. */
    DOWN,

    /** Responds after a delay of 2 s. */
    SLOW,

    /** Responds with the values that were current when this mode was set. */
    STALE,
}

/** A document or a host list; [number] is its version or its revision. */
data class PlatformValue(
    val number: Long,
    val text: String,
)

/** The published values, the mode and the count of calls of the platform stand-in. */
class PlatformState(
    document: String,
    hosts: String,
) {
    private val documents = MutableStateFlow(parseValue(document, "version"))
    private val hostLists = MutableStateFlow(parseValue(hosts, "revision"))
    private val staleDocument = MutableStateFlow(documents.value)
    private val staleHosts = MutableStateFlow(hostLists.value)
    private val currentMode = MutableStateFlow(PlatformMode.UP)
    val calls = AtomicLong()

    /** Replaces the document. A lower version is accepted too, so that tests can let the source fall back. */
    fun publishDocument(text: String) {
        documents.value = parseValue(text, "version")
    }

    fun publishHosts(text: String) {
        hostLists.value = parseValue(text, "revision")
    }

    fun switchTo(mode: PlatformMode) {
        if (mode == PlatformMode.STALE) {
            staleDocument.value = documents.value
            staleHosts.value = hostLists.value
        }
        currentMode.value = mode
    }

    fun mode(): PlatformMode = currentMode.value

    /** Returns the document, or null if none with a version above [after] is published within [waitMs]. */
    suspend fun document(after: Long?, waitMs: Long): PlatformValue? =
        newest(if (mode() == PlatformMode.STALE) staleDocument else documents, after, waitMs)

    suspend fun hosts(after: Long?, waitMs: Long): PlatformValue? =
        newest(if (mode() == PlatformMode.STALE) staleHosts else hostLists, after, waitMs)

    private suspend fun newest(values: MutableStateFlow<PlatformValue>, after: Long?, waitMs: Long): PlatformValue? {
        if (mode() == PlatformMode.SLOW) delay(SLOW_RESPONSE_DELAY)
        if (after == null) return values.value
        return withTimeoutOrNull(waitMs.milliseconds) { values.first { it.number > after } }
    }

    private companion object {
        val SLOW_RESPONSE_DELAY = 2_000.milliseconds

        fun parseValue(text: String, numberKey: String): PlatformValue {
            val number = Json.parseToJsonElement(text).jsonObject[numberKey]?.jsonPrimitive?.long
            return PlatformValue(requireNotNull(number) { "the published value has no field $numberKey" }, text)
        }
    }
}
