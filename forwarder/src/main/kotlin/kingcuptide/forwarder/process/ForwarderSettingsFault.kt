package kingcuptide.forwarder.process

import kingcuptide.coordination.process.ResultCode

/** Why settings were refused. */
data class ForwarderSettingsFault(
    val code: ResultCode,
    val reason: String,
)
