package kingcuptide.forwarder.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.request.quota.QuotaAccount
import kingcuptide.coordination.request.quota.QuotaDecision
import kingcuptide.coordination.request.quota.QuotaPeer
import kingcuptide.coordination.version.CallerLimits
import kingcuptide.coordination.version.PublishedItem
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.RoutingVersion
import kingcuptide.coordination.version.SourceItem
import kingcuptide.coordination.version.Workspace
import kingcuptide.coordination.version.Workspaces
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.NO_BYTES
import kingcuptide.forwarder.process.DaemonMetrics
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One daemon without peers, which owns the whole of every quota. */
internal class QuotaServiceTest {
    private val time = VirtualTime()
    private val scope = CoroutineScope(time + Job())
    private val metrics = DaemonMetrics()
    private var version = 0L
    private var routing = PublishedItem.Configuration(routingOf(workspace(0.0)))
    private val published = PublishedState(time, { routing })
    private var atTurnEnd: (() -> Unit) -> Unit = { it() }
    private val service =
        QuotaService(
            HostId("h"),
            QuotaPeer(FailureDomainId("a")),
            time,
            Random(1),
            published,
            metrics,
            atTurnEnd = { atTurnEnd(it) },
        ) { emptyList() }

    private fun workspace(perSecond: Double, name: String = "w") = Workspace(name, null, perSecond, 5.0, emptySet())

    private fun routingOf(workspace: Workspace): RoutingVersion {
        val limits = CallerLimits(1_000, 1_000, 1.seconds, 1.seconds)
        return RoutingVersion(++version, emptyList(), emptyMap(), limits, Workspaces(listOf(workspace)))
    }

    private fun publish(workspace: Workspace) {
        routing = PublishedItem.Configuration(routingOf(workspace))
        published.apply(listOf(SourceItem("config", version, NO_BYTES)))
        service.stateChanged()
    }

    private fun run(milliseconds: Int) = repeat(milliseconds / 20) {
        time.advance(QuotaAccount.TICK_INTERVAL)
        service.tick()
    }

    private fun allowedOf(requests: Int, workspace: Workspace): Int {
        var allowed = 0
        repeat(requests) {
            scope.launch { if (service.acquire(workspace, 60.milliseconds) == QuotaDecision.Allowed) allowed++ }
        }
        run(200)
        return allowed
    }

    /** Guards against a changed limit that binds only once the tokens of the previous one are used. */
    @Test
    fun `Given a limit that falls and goes, when requests arrive, then each limit binds at once`() {
        publish(workspace(10.0))
        run(3_000)
        expectThat(allowedOf(50, workspace(10.0)) in 5..10).isEqualTo(true)
        run(3_000)
        publish(workspace(0.1))
        expectThat(allowedOf(50, workspace(0.1)) in 0..5).isEqualTo(true)
        publish(workspace(0.0))
        expectThat(allowedOf(50, workspace(0.0))).isEqualTo(50)
    }

    /** Guards against a document version that gives every workspace its burst again, or drops what is left of it. */
    @Test
    fun `Given a version that changes no limit, when it comes into force, then the tokens stay as they are`() {
        val limited = workspace(1.0)
        publish(limited)
        run(8_000)
        expectThat(allowedOf(3, limited)).isEqualTo(3)
        publish(workspace(1.0))
        expectThat(allowedOf(20, limited) in 2..3).isEqualTo(true)
    }

    @Test
    fun `Given a caller that leaves while it waits, when a credit is free again, then another request gets it`() {
        val limited = workspace(1.0)
        publish(limited)
        run(8_000)
        val allowed = allowedOf(20, limited)
        val left = scope.launch { service.acquire(limited, 60.milliseconds) }
        time.advance(1.milliseconds)
        left.cancel()
        run(200)
        service.giveBack(limited)
        expectThat(allowed in 5..6).isEqualTo(true)
        expectThat(allowedOf(1, limited)).isEqualTo(1)
    }

    /** Guards against a request that goes on although the end of its connection has arrived with its credit. */
    @Test
    fun `Given a caller that leaves in the round of I-O of its credit, when that ends, then it returns the credit`() {
        val limited = workspace(20.0)
        publish(limited)
        run(8_000)
        val turnEnds = ArrayList<() -> Unit>()
        atTurnEnd = turnEnds::add
        var goneOn = 0
        val waiting = List(60) {
            CoroutineScope(Dispatchers.Unconfined).launch {
                if (service.acquire(limited, QuotaAccount.MAX_WAIT) == QuotaDecision.Allowed) goneOn++
            }
        }
        val goneOnAtOnce = goneOn
        run(160)
        waiting.forEach { it.cancel() }
        expectThat(turnEnds).isNotEmpty()
        turnEnds.forEach { it() }
        expectThat(goneOn).isEqualTo(goneOnAtOnce)
        expectThat(metrics.scrape()).contains("outcome=\"returned\"")
    }

    @Test
    fun `Given more workspaces than labels, when they are counted, then the rest are counted together`() {
        repeat(200) { metrics.quota("w$it", QuotaOutcome.REFUSED) }
        val lines = metrics.scrape().lines().filter { it.startsWith("kingcuptide_quota_requests_total") }
        expectThat(lines.size).isEqualTo(100)
        expectThat(lines.single { "other" in it }).contains("101")
    }
}
