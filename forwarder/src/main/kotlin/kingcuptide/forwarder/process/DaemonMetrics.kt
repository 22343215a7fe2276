package kingcuptide.forwarder.process

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tag
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kingcuptide.coordination.process.ResultCode
import kingcuptide.forwarder.request.QuotaOutcome
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** All metrics of the daemon, as Prometheus text. Names end in their unit; each refusal and retry has its code. */
class DaemonMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val counters = ConcurrentHashMap<CounterKey, Counter>()
    private val quotaWorkspaces = ConcurrentHashMap.newKeySet<String>()
    private val addedLatency = histogram("kingcuptide_request_duration_ms")
    private val gateWait = histogram("kingcuptide_gate_wait_ms")
    private val expectedFinish = histogram("kingcuptide_target_finish_expected_ms")
    private val actualFinish = histogram("kingcuptide_target_finish_ms")
    private val targetRun = histogram("kingcuptide_target_run_ms")

    /** Counts a refusal that this daemon sent to a caller ([Side.ENTRY]) or to a peer ([Side.GATE]). */
    fun refused(
        side: Side,
        code: ResultCode,
    ) = increment("kingcuptide_refusals", Label("side", side.label), codeLabel(code))

    /** Counts a retry of this entry daemon, by the code of the attempt before it. */
    fun retried(code: ResultCode) = increment("kingcuptide_retries", codeLabel(code))

    /** Counts a fault that no caller sees, such as a malformed frame or a refused document. */
    fun fault(code: ResultCode) = increment("kingcuptide_faults", codeLabel(code))

    /** Counts a request that is not retried any more, by the reason and the code of the last attempt. */
    fun gaveUp(
        reason: String,
        code: ResultCode,
    ) = increment("kingcuptide_give_ups", Label("reason", reason), codeLabel(code))

    /** Counts a cut of the gate's limit. */
    fun limitCut(reason: String) = increment("kingcuptide_limit_cuts", Label("reason", reason))

    /** Counts the ejection of a host by this entry. */
    fun hostEjected() = increment("kingcuptide_hosts_set_aside", Label("side", Side.ENTRY.label))

    /** Counts a change of the verdict on a fingerprint. */
    fun verdict(verdict: String) = increment("kingcuptide_verdict_changes", Label("verdict", verdict))

    /** Counts a request that was cancelled before it had a response, by where it was. */
    fun cancelled(
        side: Side,
        place: String,
    ) = increment("kingcuptide_cancelled_requests", Label("side", side.label), Label("place", place))

    /** Counts a response of the target beside this daemon that was passed to no call. */
    fun responseSkipped(reason: String) = increment("kingcuptide_skipped_responses", Label("reason", reason))

    /** Counts a request that was admitted as a call of the target beside this daemon, by what tells that it is one. */
    fun callAdmitted(byId: Boolean) = increment("kingcuptide_calls", Label("evidence", if (byId) "id" else "no_key"))

    /** Counts a response by its HTTP status class. */
    fun answered(status: Int) = increment("kingcuptide_answers", Label("status_class", "${status / 100}xx"))

    /** Counts a request by workspace and by what became of it with regard to its quota. */
    fun quota(workspace: String, outcome: QuotaOutcome) {
        val isKnown = workspace in quotaWorkspaces || quotaWorkspaces.size < MAX_WORKSPACE_LABELS
        if (isKnown) quotaWorkspaces += workspace
        val label = if (isKnown) workspace else OTHER_WORKSPACES
        increment("kingcuptide_quota_requests", Label("workspace", label), Label("outcome", outcome.label))
    }

    /** Counts a call to the platform. */
    fun sourceCall(kind: String) = increment("kingcuptide_source_calls", Label("kind", kind))

    /** Counts control bytes by direction and by whether they crossed to or from another region. */
    fun controlBytes(direction: Direction, crossRegion: Boolean, count: Int) {
        val key =
            CounterKey(
                "kingcuptide_control_bytes",
                Label("direction", direction.label),
                Label("cross_region", "$crossRegion"),
            )
        counter(key).increment(count.toDouble())
    }

    /** Records the time from the arrival of a request at this entry daemon to its response. */
    fun recordRequestDuration(duration: Duration) = addedLatency.record(duration.toDouble(DurationUnit.MILLISECONDS))

    /** Records how long a request waited at this gate before it was sent to the target. */
    fun recordGateWait(duration: Duration) = gateWait.record(duration.toDouble(DurationUnit.MILLISECONDS))

    /** Records how long the target beside this daemon took to respond to a request. */
    fun recordTargetRunTime(duration: Duration) = targetRun.record(duration.toDouble(DurationUnit.MILLISECONDS))

    /** Records how long this entry expected to wait for the response of the target that it chose, and the actual time. */
    fun recordTimeToFinish(expected: Duration, actual: Duration) {
        expectedFinish.record(expected.toDouble(DurationUnit.MILLISECONDS))
        actualFinish.record(actual.toDouble(DurationUnit.MILLISECONDS))
    }

    /** Registers a counter that is kept elsewhere as [name], with [labels] by their names. */
    fun registerCounter(name: String, labels: Map<String, String>, count: () -> Number) {
        val tags = labels.map { (label, value) -> Tag.of(label, value) }
        FunctionCounter.builder(name, this) { count().toDouble() }.tags(tags).register(registry)
    }

    /** Registers a gauge. */
    fun registerGauge(name: String, value: () -> Number) {
        Gauge.builder(name, this) { value().toDouble() }.register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun histogram(name: String): DistributionSummary =
        DistributionSummary
            .builder(name)
            .serviceLevelObjectives(1.0, 2.0, 5.0, 10.0, 50.0, 100.0, 500.0, 1_000.0, 5_000.0)
            .register(registry)

    private fun codeLabel(code: ResultCode) = Label("code", code.number.toString())

    private fun increment(name: String, first: Label, second: Label? = null) = counter(
        CounterKey(name, first, second),
    ).increment()

    private fun counter(key: CounterKey): Counter =
        counters.computeIfAbsent(key) {
            val builder = Counter.builder(it.name).tag(it.first.name, it.first.value)
            it.second?.let { label -> builder.tag(label.name, label.value) }
            builder.register(registry)
        }

    private companion object {
        /** Workspaces with counters of their own; further ones are counted together as [OTHER_WORKSPACES]. */
        const val MAX_WORKSPACE_LABELS = 99
        const val OTHER_WORKSPACES = "other"
    }

    private data class Label(
        val name: String,
        val value: String,
    )

    private data class CounterKey(
        val name: String,
        val first: Label,
        val second: Label? = null,
    )
}

/** The side on which a refusal was made. */
enum class Side(
    val label: String,
) {
    ENTRY("entry"),
    GATE("gate"),
}

/** Direction of control bytes. */
enum class Direction(
    val label: String,
) {
    RECEIVED("received"),
    SENT("sent"),
}
