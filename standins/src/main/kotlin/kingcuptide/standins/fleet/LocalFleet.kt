package kingcuptide.standins.fleet

import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.version.ConfigDocument
import kotlinx.serialization.json.Json
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import java.time.Duration
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** Options of a [LocalFleet]; [seedCount] bounds the seeds of each daemon. */
data class LocalFleetOptions(
    val targetArguments: List<String> = emptyList(),
    val daemonFlags: List<String> = DAEMON_FLAGS,
    val standInFlags: List<String> = listOf("-Xmx96m", "-XX:+UseSerialGC"),
    val drainMs: Long = 5_000,
    val seedCount: Int = 4,
    val resendWindowMs: Long = 120_000,
    val maxKeyedDeadlineMs: Long = 30_000,
)

/** JVM flags of a daemon that has little memory: a bound for each kind of memory. */
val DAEMON_FLAGS: List<String> =
    listOf(
        "-Xmx40m",
        "-XX:+UseSerialGC",
        "-Xss256k",
        "-XX:ReservedCodeCacheSize=32m",
        "-XX:MaxMetaspaceSize=48m",
    )

/** A platform, targets and daemons, each a process, on loopback addresses. Closing it kills them all. */
class LocalFleet(
    val shape: FleetShape,
    private val directory: Path,
    private val options: LocalFleetOptions = LocalFleetOptions(),
) : AutoCloseable {
    private val starter = ProcessStarter(directory)
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()
    private val daemons = LinkedHashMap<HostId, ChildProcess>()
    private val targets = LinkedHashMap<HostId, ChildProcess>()

    init {
        directory.createDirectories()
    }

    /** Starts the platform stand-in. */
    fun startPlatform() {
        val document = directory.resolve("document.json")
        val hosts = directory.resolve("hosts.json")
        document.writeText(json.encodeToString(ConfigDocument.serializer(), shape.document))
        hosts.writeText(json.encodeToString(HostList.serializer(), shape.hostList()))
        val arguments = listOf("platform", "--ip", shape.platformIp, "--port", "$PLATFORM_PORT")
        startStandIn("platform", arguments + listOf("--document", "$document", "--hosts", "$hosts"))
    }

    fun startTarget(host: HostEntry): ChildProcess {
        val arguments = listOf("target", "--ip", host.ip, "--port", "$TARGET_PORT", "--name", host.host.value)
        return startStandIn("target-${host.host}", arguments + options.targetArguments).also { targets[host.host] = it }
    }

    fun startDaemon(host: HostEntry): ChildProcess {
        val settings = directory.resolve("${host.host}.json")
        settings.writeText(settingsText(host))
        val child = starter.start(
            "daemon-${host.host}",
            DAEMON_MAIN,
            options.daemonFlags,
            listOf("--settings", "$settings"),
        )
        daemons[host.host] = child
        return child
    }

    /** Starts all processes and returns once the platform responds and each daemon is ready. */
    fun startAll() {
        startPlatform()
        shape.hosts.forEach { startTarget(it) }
        await("platform") { get(platformUrl("/control/calls")).statusCode() == OK }
        shape.hosts.forEach { startDaemon(it) }
        shape.hosts.forEach { awaitReady(it) }
    }

    fun awaitReady(host: HostEntry) = await("daemon ${host.host}") { get(adminUrl(host, "/ready")).statusCode() == OK }

    fun daemon(host: HostId): ChildProcess = daemons.getValue(host)

    fun target(host: HostId): ChildProcess = targets.getValue(host)

    fun publish(document: ConfigDocument) = publishText(json.encodeToString(ConfigDocument.serializer(), document))

    fun publishText(document: String) = control("/control/document", document)

    fun publish(hostList: HostList) = control("/control/hosts", json.encodeToString(HostList.serializer(), hostList))

    fun platformMode(mode: String) = control("/control/mode", mode)

    fun sourceCalls(): Long = get(platformUrl("/control/calls")).body().toLong()

    fun adminUrl(host: HostEntry, path: String): String = "http://${host.ip}:$ADMIN_PORT$path"

    fun entryUrl(host: HostEntry, path: String): String = "http://${host.ip}:${host.httpPort}$path"

    fun targetUrl(host: HostEntry, path: String): String = "http://${host.ip}:$TARGET_PORT$path"

    fun get(url: String, vararg headers: Pair<String, String>): HttpResponse<String> = send("GET", url, "", headers)

    fun post(url: String, body: String, vararg headers: Pair<String, String>): HttpResponse<String> = send(
        "POST",
        url,
        body,
        headers,
    )

    /** Polls until [condition] is true; an exception counts as false. Fails after 60 s, a generous limit. */
    fun await(what: String, condition: () -> Boolean) {
        val limit = System.nanoTime() + AWAIT_LIMIT.toNanos()
        while (System.nanoTime() < limit) {
            if (runCatching(condition).getOrDefault(false)) return
            java.util.concurrent.locks.LockSupport.parkNanos(POLL_INTERVAL.toNanos())
        }
        error("$what: condition not met within ${AWAIT_LIMIT.seconds} s; logs are in $directory")
    }

    override fun close() = starter.close()

    private fun send(
        method: String,
        url: String,
        body: String,
        headers: Array<out Pair<String, String>>,
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(20))
        headers.forEach { (name, value) -> request.header(name, value) }
        val publisher = if (body.isEmpty()) {
            HttpRequest.BodyPublishers.noBody()
        } else {
            HttpRequest.BodyPublishers.ofString(
                body,
            )
        }
        return http.send(request.method(method, publisher).build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun control(path: String, body: String) {
        val response = post(platformUrl(path), body)
        check(response.statusCode() == NO_CONTENT) { "$path got status ${response.statusCode()}" }
    }

    private fun platformUrl(path: String) = "http://${shape.platformIp}:$PLATFORM_PORT$path"

    private fun startStandIn(name: String, arguments: List<String>): ChildProcess =
        starter.start(name, STAND_INS_MAIN, options.standInFlags, arguments)

    private fun settingsText(host: HostEntry): String {
        val seeds =
            shape.hosts
                .groupBy { it.failureDomain }
                .values
                .flatMap { it.take(2) }
                .filter { it.host != host.host }
                .take(options.seedCount)
                .joinToString(",\n    ") { seedText(it) }
        return """
            // Written by the fleet launcher.
            {
              "host": "${host.host}", "ip": "${host.ip}",
              "httpPort": ${host.httpPort}, "peerPort": ${host.peerPort}, "adminPort": $ADMIN_PORT,
              "failureDomain": "${host.failureDomain}", "region": "${host.region}", "service": "${host.service}",
              "target": { "ip": "${host.ip}", "port": $TARGET_PORT },
              "platform": { "url": "http://${shape.platformIp}:$PLATFORM_PORT", "region": "${shape.platformRegion}" },
              "drainMs": ${options.drainMs},
              "resendWindowMs": ${options.resendWindowMs}, "maxKeyedDeadlineMs": ${options.maxKeyedDeadlineMs},
              "seeds": [
                $seeds
              ],
            }
            """.trimIndent()
    }

    private fun seedText(host: HostEntry): String =
        """{ "host": "${host.host}", "ip": "${host.ip}", "peerPort": ${host.peerPort}, """ +
            """"failureDomain": "${host.failureDomain}", "region": "${host.region}" }"""

    private companion object {
        const val DAEMON_MAIN = "kingcuptide.daemon.process.MainKt"
        const val STAND_INS_MAIN = "kingcuptide.standins.StandInsKt"
        const val OK = 200
        const val NO_CONTENT = 204
        val AWAIT_LIMIT: Duration = Duration.ofSeconds(60)
        val POLL_INTERVAL: Duration = Duration.ofMillis(50)
        val json = Json { encodeDefaults = true }
    }
}
