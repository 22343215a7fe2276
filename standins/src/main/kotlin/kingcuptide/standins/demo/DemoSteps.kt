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

/** The steps of the demo, each with its check. */
internal class DemoSteps(
    private val fleet: LocalFleet,
    private val say: (String) -> Unit,
) {
    private val hosts = fleet.shape.hosts
    private var document = fleet.shape.document

    fun runAll() {
        val started = TimeSource.Monotonic.markNow()
        fleet.startAll()
        say("step=start processes=${hosts.size * 2 + 1} took_ms=${started.elapsedNow().inWholeMilliseconds}")
        serveRequest()
        putVersionInForce()
        takeOutAndReturn()
        refuseBadDocument()
        runOnce()
        stopGracefully()
    }

    private fun serveRequest() {
        val entry = hosts.first { it.service == DEMO_SERVICES[0] }
        val answer = fleet.get(fleet.entryUrl(entry, "/rounds/today"))
        check(answer.statusCode() == OK) { "request was answered ${answer.statusCode()}: ${answer.body()}" }
        say(
            "step=request entry=${entry.host} answered_by=${answer.headers().firstValue(
                "Served-By",
            ).get()} status=${answer.statusCode()}",
        )
    }

    private fun putVersionInForce() {
        val took = publishAndAwait(document.copy(version = document.version + 1))
        say(
            "step=new_version version=${document.version} hosts=${hosts.size} in_force_everywhere_after_ms=${took.inWholeMilliseconds}",
        )
    }

    private fun takeOutAndReturn() {
        val domain = DEMO_DOMAINS[1]
        val load = BackgroundLoad(fleet, hosts.filter { it.failureDomain != domain }, "/parcels/1")
        val quiet: Long
        load.use {
            pause(1.seconds)
            publishAndAwait(document.copy(version = document.version + 1, takenOutFailureDomains = setOf(domain)))
            val before = runsIn(domain)
            pause(2.seconds)
            quiet = runsIn(domain) - before
            publishAndAwait(document.copy(version = document.version + 1, takenOutFailureDomains = emptySet()))
            val taken = runsIn(domain)
            fleet.await("new work in $domain after its return") { runsIn(domain) > taken }
            pause(1.seconds)
        }
        check(load.failed.isEmpty()) {
            "${load.failed.size} of ${load.sentCount} requests failed, first: ${load.failed.first()}"
        }
        check(quiet == 0L) { "$quiet requests reached $domain while it was taken out" }
        say(
            "step=failure_domain_out_and_back failure_domain=$domain requests=${load.sentCount} failed=0 new_work_while_out=$quiet",
        )
    }

    private fun refuseBadDocument() {
        val broken = document.copy(version = document.version + 1, routes = document.routes + brokenRoute())
        fleet.publish(broken)
        fleet.await("a daemon's report of the refused version") {
            hosts.any { rejected(it).contains("\"number\":${broken.version}") }
        }
        pause(1.seconds)
        hosts.forEach {
            check(versionOf(it) == document.version) { "${it.host} has version ${versionOf(it)} in force" }
        }
        val refusal = hosts.map { rejected(it) }.first { it.contains("\"number\":${broken.version}") }
        check(refusal.contains("DOCUMENT_BROKEN_REFERENCE")) { "the refusal does not name its code: $refusal" }
        say(
            "step=bad_document version=${broken.version} refused_with=DOCUMENT_BROKEN_REFERENCE in_force_everywhere=${document.version}",
        )
        document = document.copy(version = broken.version)
        publishAndAwait(document.copy(version = document.version + 1))
    }

    private fun runOnce() {
        val key = "demo-visit-1"
        var first = postWithKey(hosts[0], key)
        fleet.await("a grant for the key") {
            if (first != OK) first = postWithKey(hosts[0], key)
            first == OK
        }
        val second = postWithKey(hosts.last(), key)
        val runs = hosts.sumOf { fleet.get(fleet.targetUrl(it, "/control/runs/$key")).body().toInt() }
        check(runs == 1) { "the request ran $runs times" }
        check(second == CONFLICT) { "the repeated request was answered $second" }
        say("step=not_repeatable sent=2 runs=$runs first_status=$first second_status=$second")
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
        check(status != null) { "${leaving.host} did not stop" }
        check(load.failed.isEmpty()) {
            "${load.failed.size} of ${load.sentCount} requests failed, first: ${load.failed.first()}"
        }
        say("step=graceful_stop host=${leaving.host} requests=${load.sentCount} failed=0 exit_status=$status")
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

    private fun rejected(host: HostEntry): String = fleet.get(fleet.adminUrl(host, "/v1/rejected")).body()

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
