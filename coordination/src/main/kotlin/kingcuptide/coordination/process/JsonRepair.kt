package kingcuptide.coordination.process

import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Returns [element] with placeholders where it does not match the type that [descriptor] describes, so that the rest
 * can be decoded and checked.
 *
 * Unknown fields and list items of the wrong type are removed, optional fields of the wrong type get their defaults,
 * and other values a placeholder. Use the result only to find further faults.
 */
internal fun withoutShapeFaults(element: JsonElement?, descriptor: SerialDescriptor): JsonElement {
    if (descriptor.isInline) return withoutShapeFaults(element, descriptor.getElementDescriptor(0))
    return when (descriptor.kind) {
        StructureKind.CLASS, StructureKind.OBJECT -> repairedClass(element as? JsonObject, descriptor)
        StructureKind.MAP -> repairedMap(element as? JsonObject, descriptor)
        StructureKind.LIST -> repairedList(element as? JsonArray, descriptor)
        else -> element?.takeIf { hasShape(it, descriptor) } ?: placeholder(descriptor)
    }
}

private fun repairedClass(element: JsonObject?, descriptor: SerialDescriptor): JsonObject {
    val fields = LinkedHashMap<String, JsonElement>()
    for (index in 0 until descriptor.elementsCount) {
        val name = descriptor.getElementName(index)
        val fieldDescriptor = descriptor.getElementDescriptor(index)
        val value = element?.get(name)
        val usesDefault = value == null || (isScalar(fieldDescriptor) && !hasShape(value, fieldDescriptor))
        if (usesDefault && descriptor.isElementOptional(index)) continue
        fields[name] = withoutShapeFaults(value, fieldDescriptor)
    }
    return JsonObject(fields)
}

private fun repairedMap(element: JsonObject?, descriptor: SerialDescriptor): JsonObject {
    val valueDescriptor = descriptor.getElementDescriptor(MAP_VALUE_INDEX)
    return JsonObject(element.orEmpty().mapValues { withoutShapeFaults(it.value, valueDescriptor) })
}

private fun repairedList(element: JsonArray?, descriptor: SerialDescriptor): JsonArray {
    val itemDescriptor = descriptor.getElementDescriptor(0)
    val kept = element.orEmpty().filter { !isScalar(itemDescriptor) || hasShape(it, itemDescriptor) }
    return JsonArray(kept.map { withoutShapeFaults(it, itemDescriptor) })
}

private fun isScalar(descriptor: SerialDescriptor): Boolean = when {
    descriptor.isInline -> isScalar(descriptor.getElementDescriptor(0))
    else -> descriptor.kind is PrimitiveKind || descriptor.kind == SerialKind.ENUM
}

private fun hasShape(element: JsonElement, descriptor: SerialDescriptor): Boolean =
    shapeFaults(element, descriptor).isEmpty()

private fun placeholder(descriptor: SerialDescriptor): JsonPrimitive = when (descriptor.kind) {
    PrimitiveKind.STRING -> JsonPrimitive("")
    PrimitiveKind.BOOLEAN -> JsonPrimitive(false)
    SerialKind.ENUM -> JsonPrimitive(descriptor.getElementName(0))
    else -> JsonPrimitive(LARGE_NUMBER)
}

private const val MAP_VALUE_INDEX = 1

/** Large, so that limits relative to another field do not appear to be violated. */
private const val LARGE_NUMBER = 1_000_000
