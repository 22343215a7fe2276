package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ShapeFault
import kingcuptide.coordination.process.ShapeFaultKind
import kingcuptide.coordination.process.shapeFaults
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Maximum size of a document or host list, in bytes of UTF-8; the platform stores no larger value. */
public const val MAX_RESOURCE_BYTES: Int = 1_048_576

/**
 * Reads a document from JSON. Unknown fields, wrong types and texts over [MAX_RESOURCE_BYTES] are faults.
 *
 * The result has the right shape, but its values and references are not checked; use [validateDocument].
 */
public fun readDocument(text: String): Result<ConfigDocument, List<DocumentFault>> =
    readStrictly(text, ConfigDocument.serializer())

/** Reads a host list from JSON, as [readDocument] reads a document. [validateHostList] checks its values. */
public fun readHostList(text: String): Result<HostList, List<DocumentFault>> =
    readStrictly(text, HostList.serializer())

private fun <T> readStrictly(text: String, serializer: KSerializer<T>): Result<T, List<DocumentFault>> =
    parseResource(text).flatMap { decodeStrictly(it, serializer) }

/** Parses [text] unless it is over [MAX_RESOURCE_BYTES]. */
internal fun parseResource(text: String): Result<JsonElement, List<DocumentFault>> {
    if (text.length > MAX_RESOURCE_BYTES || text.encodeToByteArray().size > MAX_RESOURCE_BYTES) {
        return refuse(ResultCode.DOCUMENT_TOO_LARGE, "the text is over $MAX_RESOURCE_BYTES bytes")
    }
    return parseJson(text)
}

/** Parses [text], which is located at [path]; nesting deeper than [MAX_JSON_DEPTH] and duplicate keys are faults. */
internal fun parseJson(text: String, path: String = ""): Result<JsonElement, List<DocumentFault>> {
    val scan = JsonScan(text, MAX_JSON_DEPTH).run()
    if (scan.isTooDeep) return refuse(ResultCode.DOCUMENT_UNREADABLE, "nested deeper than $MAX_JSON_DEPTH levels", path)
    val parsed =
        try {
            Json.parseToJsonElement(text)
        } catch (fault: SerializationException) {
            return refuse(ResultCode.DOCUMENT_UNREADABLE, firstLine(fault), path)
        }
    if (scan.duplicateKeys.isEmpty()) return Ok(parsed)
    return Err(scan.duplicateKeys.map { DocumentFault(ResultCode.DOCUMENT_UNREADABLE, it, "duplicate key") })
}

/** Decodes [element] if it has exactly the shape that [serializer] expects, else returns every difference. */
internal fun <T> decodeStrictly(
    element: JsonElement,
    serializer: KSerializer<T>,
    path: String = "",
): Result<T, List<DocumentFault>> {
    val faults = shapeFaults(element, serializer.descriptor, path)
    if (faults.isNotEmpty()) return Err(faults.map { it.toDocumentFault() })
    return try {
        Ok(Json.decodeFromJsonElement(serializer, element))
    } catch (fault: IllegalArgumentException) {
        refuse(ResultCode.DOCUMENT_UNREADABLE, firstLine(fault), path)
    }
}

internal fun ShapeFault.toDocumentFault(): DocumentFault {
    val code =
        when (kind) {
            ShapeFaultKind.UNKNOWN_FIELD -> ResultCode.DOCUMENT_UNKNOWN_FIELD
            ShapeFaultKind.MISSING_FIELD -> ResultCode.DOCUMENT_UNREADABLE
            ShapeFaultKind.WRONG_TYPE -> ResultCode.DOCUMENT_UNREADABLE
            ShapeFaultKind.NUMBER_TOO_LARGE -> ResultCode.DOCUMENT_VALUE_OUT_OF_RANGE
        }
    return DocumentFault(code, path, reason)
}

internal fun refuse(code: ResultCode, reason: String, path: String = ""): Result<Nothing, List<DocumentFault>> =
    Err(listOf(DocumentFault(code, path, reason)))

private const val MAX_JSON_DEPTH = 16

private fun firstLine(fault: Exception): String = fault.message.orEmpty().lineSequence().first()
