package kingcuptide.daemon.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.ResultCode
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** One reason why settings are refused. */
data class SettingsFault(
    val code: ResultCode,
    val file: String,
    val path: String,
    val reason: String,
)

/** Reads settings from JSON with comments; [fileName] only appears in faults. */
fun readSettings(text: String, fileName: String): Result<DaemonSettings, List<SettingsFault>> =
    try {
        Ok(settingsJson.decodeFromString(DaemonSettings.serializer(), text))
    } catch (exception: SerializationException) {
        Err(listOf(SettingsFault(ResultCode.SETTINGS_UNREADABLE, fileName, "", exception.message.orEmpty())))
    } catch (exception: IllegalArgumentException) {
        Err(listOf(SettingsFault(ResultCode.SETTINGS_UNREADABLE, fileName, "", exception.message.orEmpty())))
    }

private val settingsJson =
    Json {
        allowComments = true
        allowTrailingComma = true
    }
