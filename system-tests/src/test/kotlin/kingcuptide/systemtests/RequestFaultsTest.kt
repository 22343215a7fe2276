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
    inner class `Given a gate that sleeps while a booking waits in its buffers` {
        @Test
        fun `when the caller's time is over and the gate wakes, then the booking has not run and never runs`() {
            val gate = fleet.shape.hostOf(DISPATCH)
            val caller = southParcels
            expectThat(fleet.get(fleet.entryUrl(caller, "/dispatch/1")).statusCode()).isEqualTo(200)
            fleet.daemon(gate.host).freeze()
            val answer =
                fleet.post(
                    fleet.entryUrl(caller, "/dispatch/visits"),
                    "{}",
                    "Request-Id" to "slept",
                    "Kingcuptide-Timeout-Ms" to "1500",
                )
            expectThat(answer.statusCode()).isEqualTo(504)
            expectThat(outcome(answer)).isEqualTo("unknown")
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
        fun `when its request comes to the north, then it is refused before anything runs, with its home named`() {
            val answer = fleet.post(
                fleet.entryUrl(entry, "/parcels/1"),
                "{}",
                "Kingcuptide-Workspace" to "southern",
                "Request-Id" to "home",
            )
            expectThat(answer.statusCode()).isEqualTo(421)
            expectThat(outcome(answer)).isEqualTo("not-run")
            expectThat(answer.headers().firstValue("Kingcuptide-Home-Regions").get()).isEqualTo("south")
            expectThat(fleet.runsOf("home")).isEqualTo(0)
        }

        @Test
        fun `when its requests come to the south, then only southern targets run them`() {
            repeat(20) {
                val answer = fleet.post(
                    fleet.entryUrl(southParcels, "/parcels/1"),
                    "{}",
                    "Kingcuptide-Workspace" to "southern",
                    "Request-Id" to "s$it",
                )
                expectThat(answer.statusCode()).isEqualTo(200)
                expectThat(answer.headers().firstValue("Served-By").get()).isEqualTo(southParcels.host.value)
            }
        }
    }

    @Nested
    inner class `Given a target that is killed` {
        @Test
        fun `when requests come afterwards, then the other target answers each of them`() {
            repeat(10) { expectThat(fleet.get(fleet.entryUrl(entry, "/parcels/$it")).statusCode()).isEqualTo(200) }
            fleet.target(northParcels.host).kill()
            repeat(30) { expectThat(fleet.get(fleet.entryUrl(entry, "/parcels/$it")).statusCode()).isEqualTo(200) }
        }

        @Test
        fun `when a booking was running there, then the caller hears that its outcome is unknown`() {
            val running = postSlowly(southParcels, "/dispatch/visits", "killed")
            fleet.await("the run") { fleet.runsOf("killed") == 1 }
            fleet.target(fleet.shape.hostOf(DISPATCH).host).kill()
            val answer = running.get(20, TimeUnit.SECONDS)
            expectThat(answer.statusCode()).isEqualTo(502)
            expectThat(outcome(answer)).isEqualTo("unknown")
        }
    }

    @Nested
    inner class `Given a daemon that stops as planned` {
        @Test
        fun `when a request is in flight at its target, then the request is finished first`() {
            val running = postSlowly(southParcels, "/dispatch/visits", "draining")
            fleet.await("the run") { fleet.runsOf("draining") == 1 }
            fleet.daemon(fleet.shape.hostOf(DISPATCH).host).terminate()
            expectThat(running.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(200)
            expectThat(fleet.runsOf("draining")).isEqualTo(1)
        }
    }

    @Nested
    inner class `Given a request that crashes each target that runs it` {
        @Test
        fun `when its caller sends it again and again, then it is quarantined after two deaths`() {
            var deaths = 0
            var last = 0
            repeat(8) {
                last = fleet.get(fleet.entryUrl(entry, "/parcels/poison"), "Crash" to "yes").statusCode()
                val dead = listOf(northParcels, southParcels).filterNot { fleet.target(it.host).isAlive }
                deaths += dead.size
                dead.forEach { restartTarget(it) }
            }
            expectThat(deaths).isLessThanOrEqualTo(2)
            expectThat(last).isEqualTo(422)
        }
    }

    private fun restartTarget(host: HostEntry) {
        fleet.startTarget(host)
        fleet.await("target ${host.host}") { fleet.get(fleet.targetUrl(host, "/health")).statusCode() == 200 }
        pause(2.seconds)
    }

    private fun postSlowly(caller: HostEntry, path: String, id: String): CompletableFuture<HttpResponse<String>> =
        CompletableFuture.supplyAsync {
            fleet.post(
                fleet.entryUrl(caller, path),
                "{}",
                "Request-Id" to id,
                "Slow-Ms" to "2000",
            )
        }

    private fun outcome(answer: HttpResponse<String>): String = answer.headers().firstValue(
        "Kingcuptide-Outcome",
    ).orElse("none")

    private fun pause(duration: Duration) = LockSupport.parkNanos(duration.inWholeNanoseconds)
}
