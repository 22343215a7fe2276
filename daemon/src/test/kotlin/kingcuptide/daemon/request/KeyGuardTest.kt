package kingcuptide.daemon.request

import kingcuptide.coordination.connection.KeyClaim
import kingcuptide.coordination.connection.KeyGrant
import kingcuptide.coordination.connection.KeyRelease
import kingcuptide.coordination.connection.Outbound
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.HostEntry
import kingcuptide.coordination.process.HostId
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.Incarnation
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.HomeRegions
import kingcuptide.coordination.request.TargetResult
import kingcuptide.coordination.request.keyClaimer
import kingcuptide.coordination.request.witnessView
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class KeyGuardTest {
    private val sent = mutableListOf<Outbound>()
    private val hosts = (1..3).map { entry("host-$it", "domain-$it") }
    private val claimer =
        keyClaimer(HostId("gate"), Incarnation(1), StoppedClock).apply {
            confirm(witnessView(HostList(1, hosts), emptyMap()))
        }
    private val guard = KeyGuard(claimer) { sent += it }
    private var ran = false

    @Nested
    inner class `Given a request that is cancelled while its claim is pending` {
        @Test
        fun `when the grants arrive afterwards, then the key is released and the request does not run`(): Unit =
            runBlocking {
                val request =
                    launch(start = CoroutineStart.UNDISPATCHED) {
                        guard.guard(head(), HomeRegions.Anywhere, 5.seconds, ::run)
                    }
                val claims = sent.toList()
                expectThat(claims).hasSize(3)
                request.cancel()
                claims.take(2).forEach { grant(it) }
                request.join()
                expectThat(sent.count { it.message is KeyRelease }).isEqualTo(3)
                expectThat(ran).isFalse()
            }
    }

    private fun run(): TargetRun {
        ran = true
        return TargetRun(TargetResult.Answered(200), mayHaveRun = true)
    }

    private fun grant(claim: Outbound) {
        val message = claim.message as KeyClaim
        claimer.receive(claim.to, KeyGrant(message.keyHash, message.claim))
    }

    private fun head() = requestHead(method = "POST", idempotent = false, keyHash = "00")

    private fun entry(host: String, domain: String) =
        HostEntry(HostId(host), "127.0.0.1", 1, 1, FailureDomainId(domain), RegionId("north"), ServiceId("visits"))

    private object StoppedClock : Clock {
        override fun now(): Duration = Duration.ZERO
    }
}
