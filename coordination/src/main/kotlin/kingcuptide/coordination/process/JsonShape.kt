package kingcuptide.coordination.process

import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** How a JSON value differs from the type that it is decoded as. */
public enum class ShapeFaultKind {
    UNKNOWN_FIELD,
    MISSING_FIELD,
    WRONG_TYPE,
    NUMBER_TOO_LARGE,
}

/** One difference between a JSON value and its type, at [path] such as `routes.book-visit.service`. */
public data class ShapeFault(
    val kind: ShapeFaultKind,
    val path: String,
    val reason: String,
)

/**
 * Compares [element] with the type that [descriptor] describes and returns every difference.
 *
 * Decoding stops at the first difference; this function lists all of them for reports. The recursion depth is bounded
 * by the type, not by the JSON text.
 */
public fun shapeFaults(element: JsonElement, descriptor: SerialDescriptor, path: String = ""): List<ShapeFault> =
    buildList { collectShapeFaults(element, descriptor, path, this) }

private fun collectShapeFaults(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
    faults: MutableList<ShapeFault>,
) {
    if (descriptor.isInline) return collectShapeFaults(element, descriptor.getElementDescriptor(0), path, faults)
    if (element is JsonNull && descriptor.isNullable) return
    when (val kind = descriptor.kind) {
        StructureKind.CLASS, StructureKind.OBJECT -> collectClassFaults(element, descriptor, path, faults)
        StructureKind.MAP -> collectMapFaults(element, descriptor, path, faults)
        StructureKind.LIST -> collectListFaults(element, descriptor, path, faults)
        SerialKind.ENUM -> collectEnumFaults(element, descriptor, path, faults)
        is PrimitiveKind -> collectPrimitiveFaults(element, kind, path, faults)
        is PolymorphicKind, SerialKind.CONTEXTUAL -> error("cannot compare JSON with type ${descriptor.serialName}")
    }
}

private fun collectClassFaults(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
    faults: MutableList<ShapeFault>,
) {
    if (element !is JsonObject) return faults.addWrongType(path, "an object", element)
    val known = descriptor.elementNames.toList()
    for (name in element.keys - known.toSet()) {
        val reason = "unknown field; known are ${known.joinToString()}"
        faults += ShapeFault(ShapeFaultKind.UNKNOWN_FIELD, path.child(name), reason)
    }
    known.forEachIndexed { index, name ->
        val value = element[name]
        if (value != null) {
            collectShapeFaults(value, descriptor.getElementDescriptor(index), path.child(name), faults)
        } else if (!descriptor.isElementOptional(index)) {
            faults += ShapeFault(ShapeFaultKind.MISSING_FIELD, path.child(name), "required field is missing")
        }
    }
}

private fun collectMapFaults(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
    faults: MutableList<ShapeFault>,
) {
    if (element !is JsonObject) return faults.addWrongType(path, "an object", element)
    val valueDescriptor = descriptor.getElementDescriptor(MAP_VALUE_INDEX)
    for ((key, value) in element) collectShapeFaults(value, valueDescriptor, path.child(key), faults)
}

private fun collectListFaults(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
    faults: MutableList<ShapeFault>,
) {
    if (element !is JsonArray) return faults.addWrongType(path, "an array", element)
    val itemDescriptor = descriptor.getElementDescriptor(0)
    element.forEachIndexed { index, item -> collectShapeFaults(item, itemDescriptor, "$path[$index]", faults) }
}

private fun collectEnumFaults(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
    faults: MutableList<ShapeFault>,
) {
    val names = descriptor.elementNames.toList()
    if (element is JsonPrimitive && element.isString && element.content in names) return
    faults.addWrongType(path, "one of ${names.joinToString()}", element)
}

private fun collectPrimitiveFaults(
    element: JsonElement,
    kind: PrimitiveKind,
    path: String,
    faults: MutableList<ShapeFault>,
) {
    val expected = expectedText(kind)
    if (element !is JsonPrimitive || element is JsonNull) return faults.addWrongType(path, expected, element)
    if (element.isString != (kind == PrimitiveKind.STRING)) return faults.addWrongType(path, expected, element)
    if (isReadable(element, kind)) return
    if (!INTEGER.matches(element.content)) return faults.addWrongType(path, expected, element)
    faults += ShapeFault(ShapeFaultKind.NUMBER_TOO_LARGE, path, "${element.content.shortened()} is too large")
}

private fun isReadable(element: JsonPrimitive, kind: PrimitiveKind): Boolean = when (kind) {
    PrimitiveKind.STRING -> true
    PrimitiveKind.BOOLEAN -> element.booleanOrNull != null
    PrimitiveKind.INT -> element.intOrNull != null
    PrimitiveKind.LONG -> element.longOrNull != null
    PrimitiveKind.DOUBLE -> element.doubleOrNull?.isFinite() == true
    else -> false
}

private fun expectedText(kind: PrimitiveKind): String = when (kind) {
    PrimitiveKind.STRING -> "a string"
    PrimitiveKind.BOOLEAN -> "true or false"
    PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
    else -> "a number"
}

private fun MutableList<ShapeFault>.addWrongType(path: String, expected: String, found: JsonElement) {
    add(ShapeFault(ShapeFaultKind.WRONG_TYPE, path, "expected $expected, found ${describe(found)}"))
}

private fun describe(element: JsonElement): String = when (element) {
    is JsonObject -> "an object"
    is JsonArray -> "an array"
    is JsonNull -> "null"
    is JsonPrimitive -> element.toString().shortened()
}

private fun String.child(name: String): String = if (isEmpty()) name.shortened() else "$this.${name.shortened()}"

private fun String.shortened(): String = if (length <= MAX_SHOWN_LENGTH) this else take(MAX_SHOWN_LENGTH) + "…"

private val INTEGER = Regex("-?[0-9]+")
private const val MAP_VALUE_INDEX = 1
private const val MAX_SHOWN_LENGTH = 80
