package kingcuptide.coordination.request

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.version.ForwardRoute
import kingcuptide.coordination.version.KeyDigest
import kingcuptide.coordination.version.Workspace
import kingcuptide.coordination.version.WorkspaceKey
import kingcuptide.coordination.version.Workspaces
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class AccessDecisionTest {
    private var revocation = RevocationSettings()
    private val knowledge = object : KeyKnowledge {
        override var isConfirmed = true
        override var peerSilence: Duration = Duration.ZERO
    }
    private val decision = AccessDecision({ revocation }, knowledge)
    private val acme = Workspace("acme", 0, 0.0, 0.0, setOf(RegionId("north")))
    private val workspaces = Workspaces(listOf(acme), listOf(WorkspaceKey(KeyDigest.of("k1"), acme)), "Token")
    private val route =
        ForwardRoute(RouteId("r"), "h", "/", true, 1, 1.seconds, 1.seconds, 1, emptyList(), emptySet())
    private val anonymous = route.copy(allowsAnonymous = true)

    private fun accessTo(
        route: ForwardRoute,
        vararg authorization: String,
        evidence: CallEvidence = CallEvidence.NONE,
    ): Access = decision.accessTo(route, workspaces, authorization.toList(), evidence)

    private fun codeOf(access: Access): ResultCode? = (access as? Access.Refused)?.code

    @Nested
    inner class `Routes that need a key` {
        @Test
        fun `Given a valid key, when a request arrives, then it is served for the workspace`() =
            expectThat(accessTo(route, "Token k1")).isEqualTo(Access.Granted(acme)).let { }

        @Test
        fun `Given no key or an unknown one, when a request arrives, then it is refused`() {
            expectThat(codeOf(accessTo(route))).isEqualTo(ResultCode.KEY_MISSING)
            expectThat(codeOf(accessTo(route, "Token k2"))).isEqualTo(ResultCode.KEY_UNKNOWN)
        }

        @Test
        fun `Given no workspaces, when a request arrives, then it is served as before`() {
            val access = decision.accessTo(route, Workspaces.NONE, listOf("Basic x"), CallEvidence.TARGET_MAY_RUN)
            expectThat(access).isEqualTo(Access.Granted(null))
        }
    }

    @Nested
    inner class `Routes that allow anonymous requests` {
        @Test
        fun `Given a valid key, when a request arrives, then it is served for the workspace`() =
            expectThat(accessTo(anonymous, "Token k1")).isEqualTo(Access.Granted(acme)).let { }

        @Test
        fun `Given no key or an unknown one, when a request arrives, then it is served without workspace`() {
            expectThat(accessTo(anonymous)).isEqualTo(Access.Granted(null))
            expectThat(accessTo(anonymous, "Token k2")).isEqualTo(Access.Granted(null))
            expectThat(accessTo(anonymous, "Basic x", "Basic y")).isEqualTo(Access.Granted(null))
        }
    }

    @Nested
    inner class `Calls of running requests` {
        private val calls = listOf(CallEvidence.TARGET_MAY_RUN, CallEvidence.ID)

        /** Guards against calls that are refused for want of a key since their ids do not tell what made them. */
        @Test
        fun `Given a target that may run, when a request has no key, then it is served as a call`() {
            for (evidence in calls) {
                expectThat(accessTo(route, evidence = evidence)).isEqualTo(Access.Granted(null, isCall = true))
            }
        }

        /** Guards against a withdrawn or wrong key that passes because the target beside the daemon is busy. */
        @Test
        fun `Given a target that may run, when a request has a key, then its key counts`() {
            for (evidence in calls) {
                expectThat(accessTo(route, "Token k1", evidence = evidence)).isEqualTo(Access.Granted(acme))
                expectThat(codeOf(accessTo(route, "Token k2", evidence = evidence))).isEqualTo(ResultCode.KEY_UNKNOWN)
            }
        }

        @Test
        fun `Given callers that need no key, when a request has none, then only its id tells a call`() {
            for ((ofRoute, of) in listOf(anonymous to workspaces, route to Workspaces.NONE)) {
                val isCall = calls.map { (decision.accessTo(ofRoute, of, emptyList(), it) as Access.Granted).isCall }
                expectThat(isCall).isEqualTo(listOf(false, true))
            }
        }
    }

    @Nested
    inner class `Home regions` {
        @Test
        fun `Given no region in common, when a request arrives, then it is refused at once`() {
            val elsewhere = route.copy(homeRegions = setOf(RegionId("south")))
            expectThat(codeOf(accessTo(elsewhere, "Token k1"))).isEqualTo(ResultCode.NO_TARGET)
        }

        @Test
        fun `Given regions of both, when they are combined, then only those in common remain`() {
            val both = setOf(RegionId("north"), RegionId("south"))
            expectThat(homeRegionsOf(route, null)).isEqualTo(emptySet())
            expectThat(homeRegionsOf(route, acme)).isEqualTo(acme.homeRegions)
            expectThat(homeRegionsOf(route.copy(homeRegions = both), null)).isEqualTo(both)
            expectThat(homeRegionsOf(route.copy(homeRegions = both), acme)).isEqualTo(acme.homeRegions)
            expectThat(homeRegionsOf(route.copy(homeRegions = setOf(RegionId("south"))), acme)).isNull()
        }
    }

    @Nested
    inner class `Keys that may be outdated` {
        private fun expectUnconfirmed() {
            expectThat(codeOf(accessTo(route, "Token k1"))).isEqualTo(ResultCode.KEYS_UNCONFIRMED)
            expectThat(codeOf(accessTo(route, "Token k2"))).isEqualTo(ResultCode.KEYS_UNCONFIRMED)
            expectThat(codeOf(accessTo(anonymous, "Token k1"))).isEqualTo(ResultCode.KEYS_UNCONFIRMED)
            expectThat(codeOf(accessTo(route))).isEqualTo(ResultCode.KEY_MISSING)
            expectThat(accessTo(anonymous)).isEqualTo(Access.Granted(null))
            expectThat(accessTo(route, evidence = CallEvidence.TARGET_MAY_RUN))
                .isEqualTo(Access.Granted(null, isCall = true))
        }

        @Test
        fun `Given a first read that may be old, when a request has a key, then it gets 503 until it is confirmed`() {
            knowledge.isConfirmed = false
            expectUnconfirmed()
            knowledge.isConfirmed = true
            expectThat(accessTo(route, "Token k1")).isA<Access.Granted>()
        }

        @Test
        fun `Given strict revocation, when no host was heard for longer than the bound, then keys get 503`() {
            revocation = RevocationSettings(isStrict = true, maxPeerSilence = 5.seconds)
            knowledge.peerSilence = 5.seconds
            expectThat(accessTo(route, "Token k1")).isA<Access.Granted>()
            knowledge.peerSilence = 5_001.milliseconds
            expectUnconfirmed()
        }

        @Test
        fun `Given revocation that is not strict, when no host was heard for long, then keys are valid as before`() {
            knowledge.peerSilence = 300.seconds
            expectThat(accessTo(route, "Token k1")).isEqualTo(Access.Granted(acme))
        }
    }
}
