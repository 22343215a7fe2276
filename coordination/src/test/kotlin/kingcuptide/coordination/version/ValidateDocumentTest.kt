package kingcuptide.coordination.version

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.HostState
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.process.WorkspaceId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

internal class ValidateDocumentTest {
    @Nested
    inner class `Given references` {
        @Test
        fun `when all are valid, then there is no fault`() {
            expectThat(validateDocument(sampleDocument())).isEmpty()
        }

        @Test
        fun `when several are broken, then each is reported with its path`() {
            val unknownRegion = RegionId("nowhere")
            val document =
                sampleDocument().copy(
                    takenOutFailureDomains = setOf(FailureDomainId("x9")),
                    routes = mapOf(
                        RouteId("r") to RouteSpec(ServiceId("gone"), "/r", homeRegions = setOf(unknownRegion, NORTH)),
                    ),
                    workspaces = mapOf(WorkspaceId("t") to WorkspaceSpec(setOf(unknownRegion))),
                )
            expectThat(findings(validateDocument(document))).containsExactlyInAnyOrder(
                ResultCode.DOCUMENT_BROKEN_REFERENCE to "takenOutFailureDomains",
                ResultCode.DOCUMENT_BROKEN_REFERENCE to "routes.r.service",
                ResultCode.DOCUMENT_BROKEN_REFERENCE to "routes.r.homeRegions",
                ResultCode.DOCUMENT_BROKEN_REFERENCE to "workspaces.t.homeRegions",
            )
        }
    }

    @Nested
    inner class `Given values out of range` {
        @Test
        fun `when they are in services, then each is reported`() {
            val bad =
                ServiceSpec(slots = 0, maxConnections = 100_001, coldSlots = 2, coldStartMs = -1, queueLength = -1)
            val document = sampleDocument().copy(services = mapOf(PARCELS to bad))
            expectThat(findings(validateDocument(document))).containsExactlyInAnyOrder(
                outOfRange("services.parcels.slots"),
                outOfRange("services.parcels.maxConnections"),
                outOfRange("services.parcels.coldSlots"),
                outOfRange("services.parcels.coldStartMs"),
                outOfRange("services.parcels.queueLength"),
            )
        }

        @Test
        fun `when they are in routes, then each is reported`() {
            val bad =
                RouteSpec(
                    service = PARCELS,
                    pathPrefix = "r",
                    methods = setOf("get"),
                    nonRepeatableMethods = setOf("PO ST"),
                    timeoutMs = 600_001,
                    maxBodyBytes = -1,
                    maxRetries = 6,
                    retryBudgetPercent = 101,
                )
            val document = sampleDocument().copy(routes = mapOf(RouteId("r") to bad))
            expectThat(findings(validateDocument(document))).containsExactlyInAnyOrder(
                outOfRange("routes.r.pathPrefix"),
                outOfRange("routes.r.methods"),
                outOfRange("routes.r.nonRepeatableMethods"),
                outOfRange("routes.r.timeoutMs"),
                outOfRange("routes.r.maxBodyBytes"),
                outOfRange("routes.r.maxRetries"),
                outOfRange("routes.r.retryBudgetPercent"),
            )
        }

        @Test
        fun `when they are in version, names and limits, then each is reported`() {
            val document =
                sampleDocument(version = 0).copy(
                    workspaces = mapOf(WorkspaceId("a/b") to WorkspaceSpec()),
                    limits = FleetLimits(quarantineMs = 86_400_001),
                )
            expectThat(findings(validateDocument(document))).containsExactlyInAnyOrder(
                outOfRange("version"),
                outOfRange("workspaces.a/b"),
                outOfRange("limits.quarantineMs"),
            )
        }

        @Test
        fun `when a prefix is ambiguous, then it is rejected`() {
            for (prefix in listOf("", "/a/", "//", "/a//b", "/a/../b", "/.", "/a%2fb", "/a?b", "/a;b", "/a b", "/é")) {
                val document = sampleDocument().copy(routes = mapOf(RouteId("r") to RouteSpec(PARCELS, prefix)))
                expectThat(findings(validateDocument(document))).describedAs(prefix)
                    .isEqualTo(listOf(outOfRange("routes.r.pathPrefix")))
            }
        }
    }

    @Nested
    inner class `Given two routes with the same prefix` {
        @Test
        fun `when their methods overlap, then the later one is reported`() {
            for (methods in listOf(setOf("GET", "PUT"), emptySet())) {
                expectThat(findings(validateDocument(documentWithSamePrefixes(methods)))).isEqualTo(
                    listOf(ResultCode.DUPLICATE_PATH_PREFIX to "routes.b.pathPrefix"),
                )
            }
        }

        @Test
        fun `when their methods differ, then there is no fault`() {
            expectThat(validateDocument(documentWithSamePrefixes(setOf("PUT")))).isEmpty()
        }

        private fun documentWithSamePrefixes(methods: Set<String>): ConfigDocument = sampleDocument().copy(
            routes =
                mapOf(
                    RouteId("b") to RouteSpec(PARCELS, "/same", methods),
                    RouteId("a") to RouteSpec(PARCELS, "/same", setOf("GET")),
                ),
        )
    }

    @Nested
    inner class `Given a home region without a failure domain in service` {
        @Test
        fun `when the document is validated, then that is a warning and not a fault`() {
            val document = sampleDocument().copy(takenOutFailureDomains = setOf(FailureDomainId("s1")))
            expectThat(validateDocument(document)).isEmpty()
            expectThat(documentWarnings(document).map { it.severity }).isEqualTo(listOf(Severity.WARNING))
            expectThat(findings(documentWarnings(document))).isEqualTo(
                listOf(ResultCode.HOME_REGION_TAKEN_OUT to "workspaces.south-farm.homeRegions"),
            )
        }

        @Test
        fun `when part of the region is in service, then there is no warning`() {
            expectThat(documentWarnings(sampleDocument())).isEmpty()
        }
    }

    @Nested
    inner class `Given a host list` {
        @Test
        fun `when every home region has a live target, then there is no warning`() {
            expectThat(validateAgainstHosts(sampleDocument(), sampleHostList())).isEmpty()
        }

        @Test
        fun `when a region has only leaving targets, then its routes and workspaces get a warning`() {
            val hosts = sampleHostList().hosts.map {
                if (it.region ==
                    NORTH
                ) {
                    it.copy(state = HostState.LEAVING)
                } else {
                    it
                }
            }
            val warnings = validateAgainstHosts(sampleDocument(), sampleHostList().copy(hosts = hosts))
            expectThat(findings(warnings)).containsExactlyInAnyOrder(
                ResultCode.NO_TARGET_IN_HOME_REGION to "routes.book.homeRegions",
                ResultCode.NO_TARGET_IN_HOME_REGION to "workspaces.north-farm.homeRegions",
            )
            expectThat(warnings.map { it.severity }.toSet()).isEqualTo(setOf(Severity.WARNING))
        }

        @Test
        fun `when the region of a host differs from the document, then the host gets a warning`() {
            val hosts = sampleHostList().hosts + sampleHost("d", "s1", NORTH) + sampleHost("e", "z9", NORTH)
            expectThat(findings(validateAgainstHosts(sampleDocument(), HostList(1, hosts)))).isEqualTo(
                listOf(
                    ResultCode.DOCUMENT_BROKEN_REFERENCE to "hosts.d",
                    ResultCode.DOCUMENT_BROKEN_REFERENCE to "hosts.e",
                ),
            )
        }

        @Test
        fun `when its values are out of range, then each is reported`() {
            val bad = sampleHost("a", "n1", NORTH).copy(ip = "example.org", peerPort = 0, httpPort = 65_536)
            expectThat(
                findings(validateHostList(HostList(1, listOf(bad, bad.copy(ip = "::1", peerPort = 1, httpPort = 1))))),
            )
                .containsExactlyInAnyOrder(
                    outOfRange("hosts[0].ip"),
                    outOfRange("hosts[0].peerPort"),
                    outOfRange("hosts[0].httpPort"),
                    outOfRange("hosts"),
                )
        }
    }

    private fun findings(faults: List<DocumentFault>): List<Pair<ResultCode, String>> = faults.map {
        it.code to it.path
    }

    private fun outOfRange(path: String) = ResultCode.DOCUMENT_VALUE_OUT_OF_RANGE to path
}
