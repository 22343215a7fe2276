package kingcuptide.daemon.process

import kingcuptide.coordination.connection.KeyRefusalReason
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.VersionEvent
import kingcuptide.forwarder.process.DaemonMetrics
import kotlin.time.DurationUnit

/** Registers the counters and gauges of the control components in [metrics]. */
internal fun registerDecisionMetrics(metrics: DaemonMetrics, decisions: ControlDecisions) {
    registerVersionMetrics(metrics, decisions)
    metrics.registerGauge("kingcuptide_gate_requests_in_flight") { decisions.gate.inFlight }
    metrics.registerGauge("kingcuptide_gate_limit") { decisions.gate.load().limit }
    metrics.registerGauge("kingcuptide_gate_requests_queued") { decisions.gate.load().queued }
    metrics.registerGauge("kingcuptide_key_witness_records") { decisions.keys.witness.counters().records }
    for (reason in KeyRefusalReason.entries) {
        metrics.registerCounter("kingcuptide_key_witness_refusals", mapOf("reason" to reason.name.lowercase())) {
            decisions.keys.witness.counters().refused[reason] ?: 0
        }
    }
}

private fun registerVersionMetrics(metrics: DaemonMetrics, decisions: ControlDecisions) {
    val versions = decisions.versions
    for (event in VersionEvent.entries) {
        metrics.registerCounter("kingcuptide_version_events", mapOf("event" to event.name.lowercase())) {
            versions.counters[event]
        }
    }
    metrics.registerGauge("kingcuptide_version_in_force") { versions.document.current?.version?.number ?: 0 }
    metrics.registerGauge("kingcuptide_document_confirmed_age_seconds") {
        versions.confirmedAge(ResourceKind.DOCUMENT)?.toDouble(DurationUnit.SECONDS) ?: Double.NaN
    }
}
