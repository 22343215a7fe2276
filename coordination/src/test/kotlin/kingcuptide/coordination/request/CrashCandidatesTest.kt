package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import kingcuptide.coordination.version.TargetId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class CrashCandidatesTest {
    private val clock = ManualClock()
    private val candidates = CrashCandidates(clock)
    private val target = TargetId("t")

    private fun request(path: String) = FingerprintInput(RouteId("r"), "POST", path, ByteArray(1))

    private fun drain() = candidates.drain { it == target }[target].orEmpty().map { it.request.fingerprint }

    @Nested
    inner class `Requests without a complete response` {
        @Test
        fun `Given an interrupted request, when its target ends within the window, then it is a candidate once`() {
            candidates.interrupted(request("/a"), target, clock.now())
            clock.advance(CrashCandidates.DETECTION_WINDOW)
            expectThat(drain()).containsExactly(request("/a").fingerprint)
            expectThat(drain()).isEmpty()
        }

        @Test
        fun `Given an interrupted request, when its target lives on, then it is no candidate`() {
            candidates.interrupted(request("/a"), target, clock.now())
            expectThat(candidates.drain { false }).isEmpty()
            clock.advance(CrashCandidates.DETECTION_WINDOW + 1.milliseconds)
            expectThat(drain()).isEmpty()
        }

        @Test
        fun `Given requests of two targets at one address, when the first has ended, then only its request counts`() {
            candidates.interrupted(request("/a"), target, clock.now())
            candidates.interrupted(request("/b"), TargetId("next"), clock.now())
            expectThat(drain()).containsExactly(request("/a").fingerprint)
        }

        @Test
        fun `Given many interrupted requests, when the target ends, then the latest are candidates`() {
            repeat(1_000) { candidates.interrupted(request("/$it"), target, clock.now()) }
            val expected = (1_000 - CrashCandidates.MAX_CANDIDATES until 1_000).map { request("/$it").fingerprint }
            expectThat(drain()).isEqualTo(expected)
        }
    }

    /** Guards against a request that crashes its target right after a whole response, and is taken for harmless. */
    @Nested
    inner class `Requests with a complete response` {
        @Test
        fun `Given a response, when a connection ends right after it, then its request is a candidate`() {
            candidates.responded(request("/a"), target, clock.now())
            clock.advance(CrashCandidates.RESPONSE_WINDOW)
            candidates.connectionEnded()
            expectThat(drain()).containsExactly(request("/a").fingerprint)
        }

        @Test
        fun `Given a response, when connections end later, then its request is no candidate`() {
            candidates.responded(request("/a"), target, clock.now())
            clock.advance(CrashCandidates.RESPONSE_WINDOW + 1.milliseconds)
            candidates.connectionEnded()
            expectThat(drain()).isEmpty()
        }

        /** A path that many callers request is nearly always in flight, or just answered, when a target crashes. */
        @Test
        fun `Given a request with an earlier response that the target outlived, when it crashes, then it is none`() {
            candidates.responded(request("/often"), target, clock.now())
            clock.advance(1.seconds)
            candidates.responded(request("/often"), target, clock.now())
            candidates.responded(request("/once"), target, clock.now())
            candidates.connectionEnded()
            expectThat(drain()).containsExactly(request("/once").fingerprint)
        }
    }
}
