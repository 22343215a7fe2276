package kingcuptide.daemon.process

import kingcuptide.coordination.process.ResultCode

/** One fault of a settings file. [path] is the key, or the line if the text can't be parsed. */
data class SettingsFault(
    val code: ResultCode,
    val file: String,
    val path: String,
    val reason: String,
)
