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
        fun `when routes allow only other methods, then these are listed`() {
            expectThat(snapshot.match("DELETE", "/parcels/visits"))
                .isEqualTo(RouteMatch.MethodNotAllowed(setOf("GET", "HEAD", "POST")))
            expectThat(snapshot.match("POST", "/parcels/7"))
                .isEqualTo(RouteMatch.MethodNotAllowed(setOf("GET", "HEAD")))
        }

        @Test
        fun `when the path is percent-encoded, then it matches like the decoded one`() {
            expectThat(routeOf("POST", "/p%61rcels/%76isits")).isEqualTo("book")
        }

        @Test
        fun `when the path is ambiguous, then no route is found`() {
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
        fun `when a route has the root as prefix, then it matches what no other route matches`() {
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
            expectThat(isIdempotent("POST", RouteSpec(PARCELS, "/"))).isFalse()
            expectThat(isIdempotent("PUT", RouteSpec(PARCELS, "/", nonRepeatableMethods = setOf("PUT")))).isFalse()
        }

        @Test
        fun `when the route does not list it, then the request is idempotent`() {
            expectThat(isIdempotent("GET", RouteSpec(PARCELS, "/"))).isTrue()
            expectThat(isIdempotent("POST", RouteSpec(PARCELS, "/", nonRepeatableMethods = emptySet()))).isTrue()
        }

        @Test
        fun `when it is unknown, then the request is not idempotent`() {
            expectThat(isIdempotent("BREW", RouteSpec(PARCELS, "/"))).isFalse()
            expectThat(isIdempotent("BREW", RouteSpec(PARCELS, "/", methods = setOf("BREW")))).isTrue()
        }

        private fun isIdempotent(method: String, route: RouteSpec): Boolean {
            val document = sampleDocument().copy(routes = mapOf(RouteId("r") to route))
            return (snapshotOf(document).unwrap().match(method, "/x") as RouteMatch.Found).idempotent
        }
    }

    @Nested
    inner class `Given a document` {
        @Test
        fun `when a failure domain is taken out, then the snapshot reports it`() {
            expectThat(snapshot.isTakenOut(FailureDomainId("n2"))).isTrue()
            expectThat(snapshot.isTakenOut(FailureDomainId("n1"))).isFalse()
        }

        @Test
        fun `when a reference is broken, then there is no snapshot`() {
            expectThat(snapshotOf(sampleDocument().copy(services = emptyMap())).getError()).isNotNull()
        }

        @Test
        fun `when a workspace is not in it, then the snapshot returns null`() {
            expectThat(snapshot.workspace(WorkspaceId("nobody"))).isNull()
            expectThat(snapshot.workspace(WorkspaceId("farm"))).isEqualTo(WorkspaceSpec())
        }
    }
}
