package kingcuptide.systemtests

import kingcuptide.standins.fleet.LocalFleet
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class VersionFaultsTest {
    private lateinit var fleet: LocalFleet

    @BeforeEach
    fun start() {
        fleet = startFleet(threeHosts(network = 32), "version-faults")
        fleet.publish(smallDocument(version = 2).withDomainsOf(fleet))
        fleet.awaitVersion(2)
    }

    @AfterEach
    fun stop() = fleet.close()

    @Nested
    inner class `Given a fleet at version 3 whose source fell back to version 2` {
        @Test
        fun `when a daemon is killed and restarted, then it serves version 3`() {
            fleet.publish(smallDocument(version = 3).withDomainsOf(fleet))
            fleet.awaitVersion(3)
            fleet.publish(smallDocument(version = 2).withDomainsOf(fleet))
            val host = fleet.shape.hosts.last()
            fleet.daemon(host.host).kill()
            fleet.daemon(host.host).awaitExit(5.seconds)
            fleet.startDaemon(host)
            fleet.awaitReady(host)
            expectThat(fleet.versionOn(host)).isEqualTo(3)
        }
    }

    @Nested
    inner class `Given a daemon that is suspended while a new version comes into force` {
        @Test
        fun `when it resumes, then no request is served under the old version`() {
            val host = fleet.shape.hosts.last()
            fleet.daemon(host.host).freeze()
            fleet.publish(smallDocument(version = 3).withDomainsOf(fleet))
            fleet.awaitVersion(3, fleet.shape.hosts - host)
            pause(2.seconds)
            fleet.daemon(host.host).wake()
            repeat(20) {
                val response = fleet.get(fleet.entryUrl(host, "/parcels/1"))
                expectThat(listOf(200, 503)).contains(response.statusCode())
                if (response.statusCode() == 200) {
                    expectThat(response.headers().firstValue("Kingcuptide-Version").get()).isEqualTo("3")
                } else {
                    expectThat(response.headers().firstValue("Kingcuptide-Outcome").get()).isEqualTo("not-run")
                }
            }
            fleet.awaitVersion(3)
        }
    }

    @Nested
    inner class `Given a source that is down` {
        @Test
        fun `when a daemon restarts, then it serves requests under the version in force`() {
            fleet.platformMode("down")
            val host = fleet.shape.hosts.first()
            fleet.daemon(host.host).kill()
            fleet.daemon(host.host).awaitExit(5.seconds)
            fleet.startDaemon(host)
            fleet.awaitReady(host)
            val response = fleet.get(fleet.entryUrl(host, "/parcels/1"))
            expectThat(response.statusCode()).isEqualTo(200)
            expectThat(response.headers().firstValue("Kingcuptide-Version").get()).isEqualTo("2")
        }
    }

    @Nested
    inner class `Given a document that is not JSON` {
        @Test
        fun `when it is published, then version 2 stays, the fault is counted, and a later valid one is applied`() {
            fleet.publishText("{\"version\": 3, \"services\": [] }")
            fleet.await("a counted fault") {
                fleet.shape.hosts.any {
                    fleet.metric(it, "kingcuptide_faults_total{code=\"400\"}") >
                        0.0
                }
            }
            fleet.shape.hosts.forEach { expectThat(fleet.versionOn(it)).isEqualTo(2) }
            fleet.publish(smallDocument(version = 4).withDomainsOf(fleet))
            fleet.awaitVersion(4)
        }
    }

    private fun pause(duration: Duration) = LockSupport.parkNanos(duration.inWholeNanoseconds)
}
