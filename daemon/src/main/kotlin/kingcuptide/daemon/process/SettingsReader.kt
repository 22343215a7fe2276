package kingcuptide.daemon.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ShapeFault
import kingcuptide.coordination.process.ShapeFaultKind
import kingcuptide.coordination.process.shapeFaults
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Parses and validates settings in JSON with comments; returns all faults. [fileName] is only used in faults. */
fun readSettings(text: String, fileName: String): Result<DaemonSettings, List<SettingsFault>> =
    parseSettings(text, fileName)
        .flatMap { decodeSettings(it, fileName) }
        .flatMap { settings ->
            val faults = validateSettings(settings, fileName)
            if (faults.isEmpty()) Ok(settings) else Err(faults)
        }

private fun parseSettings(text: String, fileName: String): Result<JsonElement, List<SettingsFault>> =
    try {
        Ok(settingsJson.parseToJsonElement(text))
    } catch (exception: SerializationException) {
        val message = exception.message.orEmpty()
        val fault = SettingsFault(ResultCode.SETTINGS_UNREADABLE, fileName, lineOf(text, message), firstLine(message))
        Err(listOf(fault))
    }

private fun decodeSettings(element: JsonElement, fileName: String): Result<DaemonSettings, List<SettingsFault>> {
    val faults = shapeFaults(element, DaemonSettings.serializer().descriptor)
    if (faults.isNotEmpty()) return Err(faults.map { it.toSettingsFault(fileName) })
    return Ok(settingsJson.decodeFromJsonElement(DaemonSettings.serializer(), element))
}

private fun ShapeFault.toSettingsFault(fileName: String): SettingsFault {
    val code =
        when (kind) {
            ShapeFaultKind.UNKNOWN_FIELD -> ResultCode.SETTINGS_UNKNOWN_KEY
            ShapeFaultKind.MISSING_FIELD -> ResultCode.SETTINGS_MISSING
            ShapeFaultKind.WRONG_TYPE -> ResultCode.SETTINGS_UNREADABLE
            ShapeFaultKind.NUMBER_TOO_LARGE -> ResultCode.SETTINGS_VALUE_OUT_OF_RANGE
        }
    val unit = if (path.endsWith("Ms")) "; the unit is milliseconds" else ""
    return SettingsFault(code, fileName, path, reason + unit)
}

/** Derives the line from the offset in the parser's message, which is the only position it gives. */
private fun lineOf(text: String, message: String): String {
    val offset = OFFSET.find(message)?.groupValues?.get(1)?.toIntOrNull() ?: return ""
    return "line ${text.take(offset).count { it == '\n' } + 1}"
}

private fun firstLine(message: String): String = message.lineSequence().first()

private val OFFSET = Regex("at offset ([0-9]+)")

private val settingsJson =
    Json {
        allowComments = true
        allowTrailingComma = true
    }
