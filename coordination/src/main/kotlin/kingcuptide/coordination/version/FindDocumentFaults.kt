package kingcuptide.coordination.version

import com.github.michaelbull.result.getOrElse
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ShapeFault
import kingcuptide.coordination.process.ShapeFaultKind
import kingcuptide.coordination.process.shapeFaults
import kingcuptide.coordination.process.withoutShapeFaults
import kotlinx.serialization.json.Json

/**
 * Returns all faults of the document in [text] at once, including those of values and references in a document whose
 * shape is wrong elsewhere. The list is empty if and only if [readDocument] and [validateDocument] find no fault.
 *
 * Faults that may be mere consequences of a wrong shape are left out until the shape is corrected.
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
    fault.code == ResultCode.DOCUMENT_BROKEN_REFERENCE -> shape.any { mayHideName(it, fault) }
    fault.code == ResultCode.DUPLICATE_PATH_PREFIX -> shape.any { isAtOrBelow(it.path, "routes") }
    else -> false
}

/** A map of the wrong shape hides all names in it; a failure domain of the wrong shape hides the name of its region. */
private fun mayHideName(shape: ShapeFault, reference: DocumentFault): Boolean {
    if ('.' !in shape.path) return true
    val hidesRegion = shape.kind != ShapeFaultKind.UNKNOWN_FIELD && isAtOrBelow(shape.path, "failureDomains")
    return hidesRegion && reference.path.endsWith(".homeRegions")
}

private fun isAtOrBelow(path: String, above: String): Boolean =
    above.isEmpty() || path == above || path.startsWith("$above.") || path.startsWith("$above[")
