package kingcuptide.daemon.version

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.DocumentFault
import kingcuptide.coordination.version.ResourceContent
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.SourceEffect
import kingcuptide.coordination.version.SourceOutcome
import kingcuptide.coordination.version.readDocument
import kingcuptide.coordination.version.readHostList
import kingcuptide.coordination.version.toContent
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.eventLog
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Makes the platform calls that the version distribution requests, and reports their outcomes. */
class SourceCaller(
    private val scope: CoroutineScope,
    private val platform: Platform,
    private val metrics: DaemonMetrics,
    private val report: suspend (SourceEffect, SourceOutcome) -> Unit,
) {
    fun call(
        effects: List<SourceEffect>,
    ) = effects.forEach { effect -> scope.launch { report(effect, outcomeOf(effect)) } }

    private suspend fun outcomeOf(effect: SourceEffect): SourceOutcome {
        metrics.sourceCall(effect.kind.name.lowercase())
        val result: Result<String?, ResultCode> =
            when (effect) {
                is SourceEffect.ReadNow -> platform.read(effect.kind).map { it }
                is SourceEffect.Watch -> platform.watch(effect.kind, effect.afterNumber, effect.wait)
            }
        return result.fold(
            success = { text ->
                if (text ==
                    null
                ) {
                    SourceOutcome.Unchanged(number = null)
                } else {
                    parse(effect.kind, text)
                }
            },
            failure = { recordFailure(it) },
        )
    }

    private fun parse(kind: ResourceKind, text: String): SourceOutcome {
        val content: Result<ResourceContent, List<DocumentFault>> =
            when (kind) {
                ResourceKind.DOCUMENT -> readDocument(text).map { it.toContent() }
                ResourceKind.HOST_LIST -> readHostList(text).map { it.toContent() }
            }
        return content.fold(
            success = { SourceOutcome.Changed(it) },
            failure = { faults -> unreadable(kind, faults) },
        )
    }

    private fun unreadable(kind: ResourceKind, faults: List<DocumentFault>): SourceOutcome {
        val first = faults.first()
        metrics.fault(first.code)
        log.warn(
            "source_unreadable",
            "kind" to kind,
            "code" to first.code.number,
            "path" to first.path,
            "reason" to first.reason,
        )
        return SourceOutcome.Failed(ResultCode.SOURCE_MALFORMED)
    }

    private fun recordFailure(code: ResultCode): SourceOutcome {
        metrics.fault(code)
        return SourceOutcome.Failed(code)
    }

    private companion object {
        val log = eventLog("source")
    }
}
