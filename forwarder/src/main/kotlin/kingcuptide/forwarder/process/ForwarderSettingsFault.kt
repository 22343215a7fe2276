package kingcuptide.forwarder.process

import kingcuptide.coordination.process.ResultCode

/** Reason why settings are invalid. */
data class ForwarderSettingsFault(
    val code: ResultCode,
    val reason: String,
)
