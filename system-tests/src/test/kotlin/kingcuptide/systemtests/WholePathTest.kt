package kingcuptide.systemtests

import kingcuptide.standins.fleet.LocalFleet
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

class WholePathTest {
    private lateinit var fleet: LocalFleet

    @BeforeEach
    fun start() {
        fleet = startFleet(threeHosts(network = 31), "whole-path")
    }

    @AfterEach
    fun stop() = fleet.close()

    @Nested
    inner class `Given a request at a daemon that has no target for it` {
        private val entry get() = fleet.shape.hostOf(DISPATCH)

        @Test
        fun `when it is sent, then a target on another host serves it under the version in force`() {
            val response = fleet.get(fleet.entryUrl(entry, "/parcels/17"))
            expectThat(response.statusCode()).isEqualTo(200)
            expectThat(response.body()).contains("-parcels-")
            expectThat(response.headers().firstValue("Kingcuptide-Version").get()).isEqualTo("1")
        }
    }
}
