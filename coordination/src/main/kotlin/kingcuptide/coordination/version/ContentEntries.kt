package kingcuptide.coordination.version

import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import kingcuptide.coordination.process.ResultCode
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** Format of entry values: compact JSON without fields that have their default value. */
internal val CANONICAL_JSON = Json { encodeDefaults = false }

/** Adds the entry `[group]/[id]`. */
internal fun <T> MutableMap<String, String>.put(group: String, id: String, serializer: KSerializer<T>, value: T) {
    put("$group/$id", CANONICAL_JSON.encodeToString(serializer, value))
}

/** Decodes the entries of one content and collects their faults; [finish] adds one for each entry that was not read. */
internal class EntryReader(
    private val entries: Map<String, String>,
) {
    private val faults = mutableListOf<DocumentFault>()
    private val unread = entries.keys.toMutableSet()

    fun <T> readOne(key: String, serializer: KSerializer<T>): T? {
        unread -= key
        val text = entries[key]
        if (text == null) {
            faults += DocumentFault(ResultCode.DOCUMENT_UNREADABLE, key, "the entry is missing")
            return null
        }
        return decode(key, text, serializer)
    }

    fun <K, T> readAll(group: String, serializer: KSerializer<T>, id: (String) -> K): Map<K, T> {
        val prefix = "$group/"
        val found = LinkedHashMap<K, T>()
        for ((key, text) in entries) {
            if (!key.startsWith(prefix)) continue
            unread -= key
            found[id(key.removePrefix(prefix))] = decode(key, text, serializer) ?: continue
        }
        return found
    }

    fun finish(): List<DocumentFault> =
        faults + unread.map { DocumentFault(ResultCode.DOCUMENT_UNKNOWN_FIELD, it, "unknown entry") }

    private fun <T> decode(key: String, text: String, serializer: KSerializer<T>): T? =
        parseJson(text, key).flatMap { decodeStrictly(it, serializer, key) }.getOrElse {
            faults += it
            null
        }
}
