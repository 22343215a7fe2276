package kingcuptide.coordination.version

import com.github.michaelbull.result.getOrElse
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ShapeFault
import kingcuptide.coordination.process.ShapeFaultKind
import kingcuptide.coordination.process.shapeFaults
import kingcuptide.coordination.process.withoutShapeFaults
import kotlinx.serialization.json.Json

/**
 * Returns every fault of the document in [text] in one run, also the faults of values and references in a document whose
 * shape is wrong elsewhere. The list is empty if and only if [readDocument] and [validateDocument] find nothing.
 *
 * Faults that may only follow from a wrong shape are left out until the shape is right.
 */
public fun findDocumentFaults(text: String): List<DocumentFault> {
    val element = parseResource(text).getOrElse { return it }
    val serializer = ConfigDocument.serializer()
    val shape = shapeFaults(element, serializer.descriptor)
    val decodable = if (shape.isEmpty()) element else withoutShapeFaults(element, serializer.descriptor)
    val document = Json.decodeFromJsonElement(serializer, decodable)
    val further = validateDocument(document).filterNot { fault -> mayFollowFrom(fault, shape) }
    return shape.map { it.toDocumentFault() } + further
}

private fun mayFollowFrom(fault: DocumentFault, shape: List<ShapeFault>): Boolean = when {
    shape.any { isAtOrBelow(fault.path, it.path) } -> true
    fault.code == ResultCode.DOCUMENT_BROKEN_REFERENCE -> shape.any { mayHideNames(it) }
    fault.code == ResultCode.DUPLICATE_PATH_PREFIX -> shape.any { isAtOrBelow(it.path, "routes") }
    else -> false
}

private fun mayHideNames(fault: ShapeFault): Boolean {
    if ('.' !in fault.path) return true
    val isOfNames = isAtOrBelow(fault.path, "failureDomains") || isAtOrBelow(fault.path, "services")
    return isOfNames && fault.kind != ShapeFaultKind.UNKNOWN_FIELD
}

private fun isAtOrBelow(path: String, above: String): Boolean =
    above.isEmpty() || path == above || path.startsWith("$above.") || path.startsWith("$above[")
