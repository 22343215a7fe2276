package kingcuptide.coordination.version

import kingcuptide.coordination.process.ResultCode

/** Collects all faults of one validation. */
internal class FaultCollector {
    private val collected = mutableListOf<DocumentFault>()

    val faults: List<DocumentFault> get() = collected

    fun brokenReference(path: String, reason: String) {
        collected += DocumentFault(ResultCode.DOCUMENT_BROKEN_REFERENCE, path, reason)
    }

    fun outOfRange(path: String, reason: String) {
        collected += DocumentFault(ResultCode.DOCUMENT_VALUE_OUT_OF_RANGE, path, reason)
    }

    fun add(fault: DocumentFault) {
        collected += fault
    }

    fun requireRange(path: String, value: Long, range: LongRange, unit: String = "") {
        if (value in range) return
        outOfRange(path, "$value is outside ${range.first}..${range.last} $unit".trimEnd())
    }

    fun requireRange(path: String, value: Int, range: IntRange, unit: String = "") =
        requireRange(path, value.toLong(), range.first.toLong()..range.last.toLong(), unit)

    fun requireName(path: String, name: String) {
        if (NAME.matches(name)) return
        outOfRange(
            path,
            "must be 1 to 64 letters, digits, dots, dashes or underscores, and start with a letter or digit",
        )
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
    }
}
