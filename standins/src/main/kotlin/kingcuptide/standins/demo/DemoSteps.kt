package kingcuptide.standins.demo

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.standins.fleet.LocalFleet
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** The steps of the demo; each checks its result and prints one line. */
internal class DemoSteps(
    private val fleet: LocalFleet,
    private val printLine: (String) -> Unit,
) {
    private val hosts = fleet.shape.hosts
    private var document = fleet.shape.document

    fun runAll() {
        val started = TimeSource.Monotonic.markNow()
        fleet.startAll()
        printLine("step=start processes=${hosts.size * 2 + 1} took_ms=${started.elapsedNow().inWholeMilliseconds}")
        serveRequest()
        putVersionInForce()
        takeOutAndReturn()
        refuseBadDocument()
        runKeyedRequestOnce()
        stopGracefully()
    }

    private fun serveRequest() {
        val entry = hosts.first { it.service == DEMO_SERVICES[0] }
        val response = fleet.get(fleet.entryUrl(entry, "/rounds/today"))
        check(response.statusCode() == OK) { "the request got status ${response.statusCode()}: ${response.body()}" }
        printLine(
            "step=request entry=${entry.host} answered_by=${response.headers().firstValue(
                "Served-By",
            ).get()} status=${response.statusCode()}",
        )
    }

    private fun putVersionInForce() {
        val took = publishAndAwait(document.copy(version = document.version + 1))
        printLine(
            "step=new_version version=${document.version} hosts=${hosts.size} in_force_everywhere_after_ms=${took.inWholeMilliseconds}",
        )
    }

    private fun takeOutAndReturn() {
        val domain = DEMO_DOMAINS[1]
        val load = BackgroundLoad(fleet, hosts.filter { it.failureDomain != domain }, "/parcels/1")
        val runsWhileOut: Long
        load.use {
            pause(1.seconds)
            publishAndAwait(document.copy(version = document.version + 1, takenOutFailureDomains = setOf(domain)))
            val runsAtStart = runsIn(domain)
            pause(2.seconds)
            runsWhileOut = runsIn(domain) - runsAtStart
            publishAndAwait(document.copy(version = document.version + 1, takenOutFailureDomains = emptySet()))
            val runsAtReturn = runsIn(domain)
            fleet.await("new requests in $domain after its return") { runsIn(domain) > runsAtReturn }
            pause(1.seconds)
        }
        check(load.failed.isEmpty()) {
            "${load.failed.size} of ${load.sentCount} requests failed, first: ${load.failed.first()}"
        }
        check(runsWhileOut == 0L) { "$runsWhileOut requests reached $domain while it was taken out" }
        printLine(
            "step=failure_domain_out_and_back failure_domain=$domain requests=${load.sentCount} failed=0 new_work_while_out=$runsWhileOut",
        )
    }

    private fun refuseBadDocument() {
        val broken = document.copy(version = document.version + 1, routes = document.routes + brokenRoute())
        fleet.publish(broken)
        fleet.await("a daemon's report of the rejected version") {
            hosts.any { rejectedReport(it).contains("\"number\":${broken.version}") }
        }
        pause(1.seconds)
        hosts.forEach {
            check(versionOf(it) == document.version) { "${it.host} has version ${versionOf(it)} in force" }
        }
        val report = hosts.map { rejectedReport(it) }.first { it.contains("\"number\":${broken.version}") }
        check(report.contains("DOCUMENT_BROKEN_REFERENCE")) { "the report lacks the code of the fault: $report" }
        printLine(
            "step=bad_document version=${broken.version} refused_with=DOCUMENT_BROKEN_REFERENCE in_force_everywhere=${document.version}",
        )
        document = document.copy(version = broken.version)
        publishAndAwait(document.copy(version = document.version + 1))
    }

    private fun runKeyedRequestOnce() {
        val key = "demo-visit-1"
        var first = postWithKey(hosts[0], key)
        fleet.await("a grant for the key") {
            if (first != OK) first = postWithKey(hosts[0], key)
            first == OK
        }
        val second = postWithKey(hosts.last(), key)
        val runs = hosts.sumOf { fleet.get(fleet.targetUrl(it, "/control/runs/$key")).body().toInt() }
        check(runs == 1) { "the request ran $runs times" }
        check(second == CONFLICT) { "the retry got status $second" }
        printLine("step=not_repeatable sent=2 runs=$runs first_status=$first second_status=$second")
    }

    private fun stopGracefully() {
        val leaving = hosts.first { it.failureDomain == DEMO_DOMAINS[2] && it.service == DEMO_SERVICES[0] }
        val load = BackgroundLoad(fleet, hosts - leaving, "/parcels/2")
        val status: Int?
        load.use {
            pause(500.milliseconds)
            fleet.daemon(leaving.host).terminate()
            status = fleet.daemon(leaving.host).awaitExit(15.seconds)
            pause(500.milliseconds)
        }
        check(status != null) { "${leaving.host} did not stop within 15 s" }
        check(load.failed.isEmpty()) {
            "${load.failed.size} of ${load.sentCount} requests failed, first: ${load.failed.first()}"
        }
        printLine("step=graceful_stop host=${leaving.host} requests=${load.sentCount} failed=0 exit_status=$status")
    }

    private fun publishAndAwait(next: ConfigDocument): Duration {
        val started = TimeSource.Monotonic.markNow()
        fleet.publish(next)
        document = next
        fleet.await("version ${next.version} everywhere") { hosts.all { versionOf(it) == next.version } }
        return started.elapsedNow()
    }

    private fun versionOf(host: HostEntry): Long? =
        Regex("version=(\\d+)")
            .find(fleet.get(fleet.adminUrl(host, "/ready")).body())
            ?.groupValues
            ?.get(1)
            ?.toLong()

    private fun rejectedReport(host: HostEntry): String = fleet.get(fleet.adminUrl(host, "/v1/rejected")).body()

    private fun runsIn(domain: FailureDomainId): Long =
        hosts.filter { it.failureDomain == domain }.sumOf { host ->
            val report = fleet.get(fleet.targetUrl(host, "/control/report")).body()
            checkNotNull(Regex("total=(\\d+)").find(report)).groupValues[1].toLong()
        }

    private fun postWithKey(entry: HostEntry, key: String): Int =
        fleet.post(fleet.entryUrl(entry, "/rounds/visits"), "{\"visit\":1}", "Idempotency-Key" to key).statusCode()

    private fun brokenRoute() = mapOf(RouteId("broken") to RouteSpec(ServiceId("missing"), "/broken"))

    private fun pause(duration: Duration) = LockSupport.parkNanos(duration.inWholeNanoseconds)

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
    }
}
