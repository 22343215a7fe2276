package kingcuptide.systemtests

import kingcuptide.coordination.process.HostEntry
import kingcuptide.standins.fleet.LocalFleet
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class RequestFaultsTest {
    private lateinit var fleet: LocalFleet
    private val entry get() = fleet.shape.hostOf(DISPATCH)
    private val northParcels get() = fleet.shape.hosts.first()
    private val southParcels get() = fleet.shape.hosts.last()

    @BeforeEach
    fun start() {
        fleet = startFleet(threeHosts(network = 33), "request-faults")
    }

    @AfterEach
    fun stop() = fleet.close()

    @Nested
    inner class `Given a gate that is suspended while a booking waits in its buffers` {
        @Test
        fun `when the gate resumes after the deadline of the caller, then the booking never runs`() {
            val gate = fleet.shape.hostOf(DISPATCH)
            val caller = southParcels
            expectThat(fleet.get(fleet.entryUrl(caller, "/dispatch/1")).statusCode()).isEqualTo(200)
            fleet.daemon(gate.host).freeze()
            val response =
                fleet.post(
                    fleet.entryUrl(caller, "/dispatch/visits"),
                    "{}",
                    "Request-Id" to "slept",
                    "Kingcuptide-Timeout-Ms" to "1500",
                )
            expectThat(response.statusCode()).isEqualTo(504)
            expectThat(outcome(response)).isEqualTo("unknown")
            pause(1.seconds)
            fleet.daemon(gate.host).wake()
            fleet.awaitReady(gate)
            pause(1.seconds)
            expectThat(fleet.runsOf("slept")).isEqualTo(0)
        }
    }

    @Nested
    inner class `Given a workspace whose home is the south` {
        @Test
        fun `when its request enters in the north, then it is refused with its home region before it runs`() {
            val response = fleet.post(
                fleet.entryUrl(entry, "/parcels/1"),
                "{}",
                "Kingcuptide-Workspace" to "southern",
                "Request-Id" to "home",
            )
            expectThat(response.statusCode()).isEqualTo(421)
            expectThat(outcome(response)).isEqualTo("not-run")
            expectThat(response.headers().firstValue("Kingcuptide-Home-Regions").get()).isEqualTo("south")
            expectThat(fleet.runsOf("home")).isEqualTo(0)
        }

        @Test
        fun `when its requests enter in the south, then only southern targets run them`() {
            repeat(20) {
                val response = fleet.post(
                    fleet.entryUrl(southParcels, "/parcels/1"),
                    "{}",
                    "Kingcuptide-Workspace" to "southern",
                    "Request-Id" to "s$it",
                )
                expectThat(response.statusCode()).isEqualTo(200)
                expectThat(response.headers().firstValue("Served-By").get()).isEqualTo(southParcels.host.value)
            }
        }
    }

    @Nested
    inner class `Given a target that is killed` {
        @Test
        fun `when requests follow, then the other target serves each of them`() {
            repeat(10) { expectThat(fleet.get(fleet.entryUrl(entry, "/parcels/$it")).statusCode()).isEqualTo(200) }
            fleet.target(northParcels.host).kill()
            repeat(30) { expectThat(fleet.get(fleet.entryUrl(entry, "/parcels/$it")).statusCode()).isEqualTo(200) }
        }

        @Test
        fun `when a booking was running there, then its caller gets the outcome unknown`() {
            val running = postSlowRequest(southParcels, "/dispatch/visits", "killed")
            fleet.await("the run of the request") { fleet.runsOf("killed") == 1 }
            fleet.target(fleet.shape.hostOf(DISPATCH).host).kill()
            val response = running.get(20, TimeUnit.SECONDS)
            expectThat(response.statusCode()).isEqualTo(502)
            expectThat(outcome(response)).isEqualTo("unknown")
        }
    }

    @Nested
    inner class `Given a daemon that is stopped gracefully` {
        @Test
        fun `when a request is in flight at its target, then the request completes first`() {
            val running = postSlowRequest(southParcels, "/dispatch/visits", "draining")
            fleet.await("the run of the request") { fleet.runsOf("draining") == 1 }
            fleet.daemon(fleet.shape.hostOf(DISPATCH).host).terminate()
            expectThat(running.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(200)
            expectThat(fleet.runsOf("draining")).isEqualTo(1)
        }
    }

    @Nested
    inner class `Given a request that crashes each target that runs it` {
        @Test
        fun `when its caller retries it, then it is quarantined after at most two crashes`() {
            var crashes = 0
            var lastStatus = 0
            repeat(8) {
                lastStatus = fleet.get(fleet.entryUrl(entry, "/parcels/poison"), "Crash" to "yes").statusCode()
                val crashed = listOf(northParcels, southParcels).filterNot { fleet.target(it.host).isAlive }
                crashes += crashed.size
                crashed.forEach { restartTarget(it) }
            }
            expectThat(crashes).isLessThanOrEqualTo(2)
            expectThat(lastStatus).isEqualTo(422)
        }
    }

    private fun restartTarget(host: HostEntry) {
        fleet.startTarget(host)
        fleet.await("target ${host.host}") { fleet.get(fleet.targetUrl(host, "/health")).statusCode() == 200 }
        pause(2.seconds)
    }

    private fun postSlowRequest(caller: HostEntry, path: String, id: String): CompletableFuture<HttpResponse<String>> =
        CompletableFuture.supplyAsync {
            fleet.post(
                fleet.entryUrl(caller, path),
                "{}",
                "Request-Id" to id,
                "Slow-Ms" to "2000",
            )
        }

    private fun outcome(response: HttpResponse<String>): String = response.headers().firstValue(
        "Kingcuptide-Outcome",
    ).orElse("none")

    private fun pause(duration: Duration) = LockSupport.parkNanos(duration.inWholeNanoseconds)
}
