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
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class HomeRegionsTest {
    private val north = RegionId("north")
    private val south = RegionId("south")
    private val anywhere = RouteSpec(ServiceId("parcels"), "/parcels")
    private val northern = anywhere.copy(homeRegions = setOf(north))
    private val document =
        ConfigDocument(
            version = 1,
            workspaces =
                mapOf(
                    WorkspaceId("farm") to WorkspaceSpec(),
                    WorkspaceId("both") to WorkspaceSpec(setOf(north, south)),
                    WorkspaceId("southern") to WorkspaceSpec(setOf(south)),
                ),
        )

    @Nested
    inner class `Given a route and a workspace` {
        @Test
        fun `when only one of them is restricted, then its home regions apply`() {
            expectThat(home(northern, null)).isEqualTo(HomeRegions.Only(setOf(north)))
            expectThat(home(northern, "farm")).isEqualTo(HomeRegions.Only(setOf(north)))
            expectThat(home(anywhere, "southern")).isEqualTo(HomeRegions.Only(setOf(south)))
        }

        @Test
        fun `when neither is restricted, then any region is allowed`() {
            expectThat(home(anywhere, "farm")).isEqualTo(HomeRegions.Anywhere)
            expectThat(south in home(anywhere, null)).isTrue()
        }

        @Test
        fun `when both are restricted, then only common regions are allowed`() {
            expectThat(home(northern, "both")).isEqualTo(HomeRegions.Only(setOf(north)))
            expectThat(checkHomeRegion(south, home(northern, "both")))
                .isEqualTo(HomeRegionCheck.WrongRegion(listOf(north)))
        }

        @Test
        fun `when they have no common region, then no region is allowed`() {
            expectThat(checkHomeRegion(north, home(northern, "southern"))).isEqualTo(HomeRegionCheck.NoAllowedRegion)
            expectThat(south in home(northern, "southern")).isFalse()
        }

        @Test
        fun `when the workspace is unknown, then no region is allowed`() {
            expectThat(checkHomeRegion(north, home(anywhere, "nobody"))).isEqualTo(HomeRegionCheck.NoAllowedRegion)
        }
    }

    private fun home(route: RouteSpec, workspace: String?): HomeRegions =
        homeRegionsOf(route, workspace?.let(::WorkspaceId), document)
}
