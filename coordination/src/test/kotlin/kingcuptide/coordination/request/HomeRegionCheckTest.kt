package kingcuptide.coordination.request

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.process.WorkspaceId
import kingcuptide.coordination.version.ConfigDocument
import kingcuptide.coordination.version.RouteSpec
import kingcuptide.coordination.version.WorkspaceSpec
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

internal class HomeRegionCheckTest {
    private val north = RegionId("north")
    private val south = RegionId("south")
    private val workspace = WorkspaceId("school")

    @Nested
    inner class `Regions of a request` {
        @Test
        fun `Given neither route nor workspace has home regions, when resolved, then any region is allowed`() {
            expectThat(homeRegionsFor(route = emptySet(), workspace = emptySet())).isEqualTo(HomeRegions.Anywhere)
        }

        @Test
        fun `Given both have home regions, when resolved, then only common regions are allowed, if any`() {
            expectThat(homeRegionsFor(setOf(north, south), setOf(south))).isEqualTo(HomeRegions.Only(setOf(south)))
            expectThat(homeRegionsFor(setOf(north), setOf(south))).isEqualTo(HomeRegions.Only(emptySet()))
        }

        @Test
        fun `Given a workspace that the document does not have, when resolved, then no region is allowed`() {
            val home = homeRegionsOf(routeOf(emptySet()), WorkspaceId("unknown"), ConfigDocument(version = 1))
            expectThat(checkHomeRegion(north, home)).isEqualTo(HomeRegionCheck.NoAllowedRegion)
        }

        private fun homeRegionsFor(route: Set<RegionId>, workspace: Set<RegionId>): HomeRegions {
            val workspaces = mapOf(this@HomeRegionCheckTest.workspace to WorkspaceSpec(workspace))
            val document = ConfigDocument(version = 1, workspaces = workspaces)
            return homeRegionsOf(routeOf(route), this@HomeRegionCheckTest.workspace, document)
        }

        private fun routeOf(homes: Set<RegionId>) =
            RouteSpec(service = ServiceId("rounds"), pathPrefix = "/", homeRegions = homes)
    }

    @Nested
    inner class `Check` {
        @Test
        fun `Given a request with other home regions, when checked, then the result names them sorted`() {
            val home = HomeRegions.Only(setOf(south, RegionId("east")))
            expectThat(checkHomeRegion(north, home))
                .isEqualTo(HomeRegionCheck.WrongRegion(listOf(RegionId("east"), south)))
            expectThat(checkHomeRegion(south, home)).isEqualTo(HomeRegionCheck.Allowed)
        }
    }

    @Nested
    inner class `Fingerprint` {
        @Test
        fun `Given the same request, when only home regions or salt differ, then the fingerprints differ`() {
            val plain = print(HomeRegions.Anywhere, salt = "")
            expectThat(print(HomeRegions.Anywhere, salt = "")).isEqualTo(plain)
            expectThat(print(HomeRegions.Only(setOf(north)), salt = "")).isNotEqualTo(plain)
            expectThat(print(HomeRegions.Anywhere, salt = "s")).isNotEqualTo(plain)
        }

        private fun print(home: HomeRegions, salt: String) =
            fingerprintOf(GateFixture.ROUTE, "POST", "/rounds", "body".encodeToByteArray(), home, salt)
    }
}
