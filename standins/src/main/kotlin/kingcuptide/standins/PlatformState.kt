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

/** How the platform stand-in behaves. */
enum class PlatformMode {
    /** Answers with the newest value. */
    UP,

    /** Fails every call. */
    DOWN,

    /** Answers late. */
    SLOW,

    /** Answers with the values it had when it became stale. */
    STALE,
}

/** One value that the stand-in holds. */
data class PlatformValue(
    val number: Long,
    val text: String,
)

/** The values, the behaviour and the call counts of the platform stand-in. */
class PlatformState(
    document: String,
    hosts: String,
) {
    private val documents = MutableStateFlow(valueOf(document, "version"))
    private val hostLists = MutableStateFlow(valueOf(hosts, "revision"))
    private val staleDocument = MutableStateFlow(documents.value)
    private val staleHosts = MutableStateFlow(hostLists.value)
    private val modes = MutableStateFlow(PlatformMode.UP)
    val calls = AtomicLong()

    /** Replaces the document; any number is taken, also a lower one, so that a source going back can be shown. */
    fun publishDocument(text: String) {
        documents.value = valueOf(text, "version")
    }

    fun publishHosts(text: String) {
        hostLists.value = valueOf(text, "revision")
    }

    fun switchTo(mode: PlatformMode) {
        if (mode == PlatformMode.STALE) {
            staleDocument.value = documents.value
            staleHosts.value = hostLists.value
        }
        modes.value = mode
    }

    fun mode(): PlatformMode = modes.value

    /** Returns the document, or null if none above [after] came within [waitMs]. */
    suspend fun document(after: Long?, waitMs: Long): PlatformValue? =
        newest(if (mode() == PlatformMode.STALE) staleDocument else documents, after, waitMs)

    suspend fun hosts(after: Long?, waitMs: Long): PlatformValue? =
        newest(if (mode() == PlatformMode.STALE) staleHosts else hostLists, after, waitMs)

    private suspend fun newest(values: MutableStateFlow<PlatformValue>, after: Long?, waitMs: Long): PlatformValue? {
        if (mode() == PlatformMode.SLOW) delay(SLOW_ANSWER)
        if (after == null) return values.value
        return withTimeoutOrNull(waitMs.milliseconds) { values.first { it.number > after } }
    }

    private companion object {
        val SLOW_ANSWER = 2_000.milliseconds

        fun valueOf(text: String, numberKey: String): PlatformValue {
            val number = Json.parseToJsonElement(text).jsonObject[numberKey]?.jsonPrimitive?.long
            return PlatformValue(requireNotNull(number) { "no $numberKey" }, text)
        }
    }
}
