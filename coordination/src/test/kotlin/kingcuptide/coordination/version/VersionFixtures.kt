package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.FleetView
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.Liveness
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.ServiceId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Clock that changes only when a test sets [time]. */
internal class SteppedClock : Clock {
    var time: Duration = Duration.ZERO

    override fun now(): Duration = time
}

/** Fleet of [domains] failure domains `a`, `b` and so on with hosts `a1`, `a2`; hosts in [dead] are reported dead. */
internal class ListedFleet(
    domains: Int,
    hostsPerDomain: Int,
    selfName: String = "a1",
    region: (domain: Int) -> String = { "r" },
) : FleetView {
    val dead = mutableSetOf<HostId>()
    private val hosts = (0 until domains).flatMap { domain ->
        (1..hostsPerDomain).map { hostEntry(domain, it, region(domain)) }
    }
    override val self: HostEntry = hosts.first { it.host.value == selfName }
    override val hostList: HostList = HostList(1, hosts)

    override fun entry(host: HostId): HostEntry? = hosts.find { it.host == host }

    override fun liveness(host: HostId): Liveness = if (host in dead) Liveness.DEAD else Liveness.ALIVE

    override fun incarnation(host: HostId): Incarnation? = null
}

internal fun hostEntry(domain: Int, number: Int, region: String): HostEntry {
    val letter = 'a' + domain
    return HostEntry(
        host = HostId("$letter$number"),
        ip = "10.0.$domain.$number",
        peerPort = 7_000,
        httpPort = 8_000,
        failureDomain = FailureDomainId("fd-$letter"),
        region = RegionId(region),
        service = ServiceId("s"),
    )
}

internal val TEST_SETTINGS = VersionSettings(platformRegion = RegionId("r"), expectedHosts = 10)

internal fun document(number: Long, vararg entries: Pair<String, String>): ResourceContent =
    ResourceContent.of(ResourceKind.DOCUMENT, number, mapOf("number" to "$number", *entries))

internal fun hostListOf(number: Long): ResourceContent = ResourceContent.of(ResourceKind.HOST_LIST, number, emptyMap())

internal fun validate(content: ResourceContent): Result<String, List<ResourceFault>> {
    if ("bad" in content.entries) return Err(listOf(ResourceFault(ResultCode.DOCUMENT_BROKEN_REFERENCE, "bad")))
    return Ok("document ${content.version.number}")
}

/** A coordinator with records of the messages and platform calls that it returns. */
internal class CoordinatorFixture(
    val fleet: ListedFleet = ListedFleet(domains = 3, hostsPerDomain = 3),
    settings: VersionSettings = TEST_SETTINGS,
    val clock: SteppedClock = SteppedClock(),
) {
    val codec: PayloadCodec = deflatePayloadCodec()
    val sent = mutableListOf<Outbound>()
    val calls = mutableListOf<SourceEffect>()
    val coordinator: VersionCoordinator<String> =
        versionCoordinator(clock, Random(1), fleet, settings, codec, ::validate) { Ok(fleet.hostList) }

    /** Runs [action] and records the messages and platform calls that it returns. */
    fun perform(action: VersionCoordinator<String>.() -> List<Outbound>) {
        sent += coordinator.action()
        calls += coordinator.takeSourceEffects()
    }

    /** Advances the clock by [duration], with a tick every 100 ms. */
    fun advanceTime(duration: Duration) {
        val end = clock.time + duration
        while (clock.time < end) {
            clock.time += 100.milliseconds
            perform { tick() }
        }
    }

    /** Passes in [content] as read from the source. */
    fun deliver(content: ResourceContent) = perform { sourceOutcome(0, content.kind, SourceOutcome.Changed(content)) }

    /** Makes the daemon join without witnesses and with [content], as after a start of the whole fleet. */
    fun joinWith(content: ResourceContent) {
        deliver(hostListOf(1))
        deliver(content)
        advanceTime(TEST_SETTINGS.joinWait + TEST_SETTINGS.commitWait + 500.milliseconds)
        sent.clear()
    }

    /** Returns the messages of type [M] to [host], or to any host. */
    inline fun <reified M> messages(host: HostId? = null): List<M> =
        sent.filter { host == null || it.to == host }.map { it.message }.filterIsInstance<M>()
}
