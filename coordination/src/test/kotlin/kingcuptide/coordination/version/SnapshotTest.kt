package kingcuptide.coordination.version

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.WorkspaceId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class SnapshotTest {
    private val snapshot = snapshotOf(sampleDocument()).unwrap()

    @Nested
    inner class `Given a path` {
        @Test
        fun `when several prefixes match, then the longest that allows the method wins`() {
            expectThat(routeOf("POST", "/parcels/visits/7?day=2")).isEqualTo("book")
            expectThat(routeOf("GET", "/parcels/visits/7")).isEqualTo("lookup")
            expectThat(routeOf("GET", "/parcels")).isEqualTo("lookup")
            expectThat(routeOf("GET", "/parcels/")).isEqualTo("lookup")
            expectThat(routeOf("GET", "/parcels?q=/parcels/visits")).isEqualTo("lookup")
        }

        @Test
        fun `when only a part of a segment matches, then no route is found`() {
            for (path in listOf("/parcelsx", "/parcel", "/", "/Parcels", "parcels", "")) {
                expectThat(snapshot.match("GET", path)).describedAs(path).isEqualTo(RouteMatch.UnknownRoute)
            }
        }

        @Test
        fun `when only other methods are routed, then those are named`() {
            expectThat(snapshot.match("DELETE", "/parcels/visits"))
                .isEqualTo(RouteMatch.MethodNotAllowed(setOf("GET", "HEAD", "POST")))
            expectThat(snapshot.match("POST", "/parcels/7"))
                .isEqualTo(RouteMatch.MethodNotAllowed(setOf("GET", "HEAD")))
        }

        @Test
        fun `when the path is escaped, then it matches like the plain one`() {
            expectThat(routeOf("POST", "/p%61rcels/%76isits")).isEqualTo("book")
        }

        @Test
        fun `when servers may disagree about the path, then no route is found`() {
            val paths =
                listOf(
                    "//parcels",
                    "/parcels//visits",
                    "/x/../parcels",
                    "/parcels/%2e%2e/x",
                    "/parcels/.",
                    "/parcels%2fvisits",
                )
            val more =
                listOf("/parcels;a=1/x", "/parcels/%", "/parcels/%zz", "/parcels/%00", "/parcels/%ff", "/parcels\\x")
            for (path in paths + more) {
                expectThat(snapshot.match("GET", path)).describedAs(path).isEqualTo(RouteMatch.UnknownRoute)
            }
        }

        @Test
        fun `when a route is at the root, then it takes what no other takes`() {
            val routes = sampleDocument().routes + (RouteId("rest") to RouteSpec(PARCELS, "/"))
            val withRoot = snapshotOf(sampleDocument().copy(routes = routes)).unwrap()
            expectThat(withRoot.match("GET", "/")).isA<RouteMatch.Found>().get { routeId.value }.isEqualTo("rest")
            expectThat(withRoot.match("DELETE", "/parcels")).isA<RouteMatch.Found>().get {
                routeId.value
            }.isEqualTo("rest")
        }

        private fun routeOf(method: String, path: String): String? =
            (snapshot.match(method, path) as? RouteMatch.Found)?.routeId?.value
    }

    @Nested
    inner class `Given a method` {
        @Test
        fun `when the route lists it as non-idempotent, then the request is not idempotent`() {
            expectThat(isRepeatable("POST", RouteSpec(PARCELS, "/"))).isFalse()
            expectThat(isRepeatable("PUT", RouteSpec(PARCELS, "/", nonRepeatableMethods = setOf("PUT")))).isFalse()
        }

        @Test
        fun `when the route does not list it, then the request is idempotent`() {
            expectThat(isRepeatable("GET", RouteSpec(PARCELS, "/"))).isTrue()
            expectThat(isRepeatable("POST", RouteSpec(PARCELS, "/", nonRepeatableMethods = emptySet()))).isTrue()
        }

        @Test
        fun `when nobody knows it, then the request is not idempotent`() {
            expectThat(isRepeatable("BREW", RouteSpec(PARCELS, "/"))).isFalse()
            expectThat(isRepeatable("BREW", RouteSpec(PARCELS, "/", methods = setOf("BREW")))).isTrue()
        }

        private fun isRepeatable(method: String, route: RouteSpec): Boolean {
            val document = sampleDocument().copy(routes = mapOf(RouteId("r") to route))
            return (snapshotOf(document).unwrap().match(method, "/x") as RouteMatch.Found).idempotent
        }
    }

    @Nested
    inner class `Given a document` {
        @Test
        fun `when a failure domain is taken out, then the snapshot says so`() {
            expectThat(snapshot.isTakenOut(FailureDomainId("n2"))).isTrue()
            expectThat(snapshot.isTakenOut(FailureDomainId("n1"))).isFalse()
        }

        @Test
        fun `when a reference is broken, then there is no snapshot`() {
            expectThat(snapshotOf(sampleDocument().copy(services = emptyMap())).getError()).isNotNull()
        }

        @Test
        fun `when a workspace is not in it, then the snapshot has none`() {
            expectThat(snapshot.workspace(WorkspaceId("nobody"))).isNull()
            expectThat(snapshot.workspace(WorkspaceId("farm"))).isEqualTo(WorkspaceSpec())
        }
    }
}
