package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a request that crashes its target after a whole response and counts as one that the target survived. */
internal class SurvivedRunsTest {
    private val clock = ManualClock()
    private val runs = SurvivedRuns(clock)

    private fun request(path: String) = FingerprintInput(RouteId("r"), "GET", path, ByteArray(0))

    /** Records a response that comes now to a request that was sent just before. */
    private fun respond(path: String) {
        val startedAt = clock.now()
        clock.advance(1.milliseconds)
        runs.responded(request(path), startedAt)
    }

    private fun outlive() = clock.advance(CrashCandidates.RESPONSE_WINDOW + 1.milliseconds)

    private fun survived() = runs.latest().map { it.request }

    @Test
    fun `Given a response, when the target lives on for the window, then its run counts`() {
        respond("/a")
        clock.advance(CrashCandidates.RESPONSE_WINDOW)
        expectThat(survived()).isEmpty()
        clock.advance(1.milliseconds)
        expectThat(survived()).isEqualTo(listOf(request("/a")))
    }

    @Test
    fun `Given several runs of a request, when they are survived, then the latest start counts`() {
        respond("/a")
        clock.advance(1.seconds)
        val startedAt = clock.now()
        respond("/a")
        outlive()
        expectThat(runs.latest().map { it.startedAt }).isEqualTo(listOf(startedAt))
    }

    @Test
    fun `Given a connection that ends after the response, when nothing follows, then its run never counts`() {
        respond("/a")
        runs.connectionEnded()
        clock.advance(10.seconds)
        expectThat(survived()).isEmpty()
    }

    @Test
    fun `Given a connection that ends after the response, when a later request is answered, then its run counts`() {
        respond("/a")
        runs.connectionEnded()
        outlive()
        val sentBefore = clock.now() - 1.seconds
        runs.responded(request("/b"), sentBefore)
        expectThat(survived()).isEmpty()
        respond("/c")
        expectThat(survived()).isEqualTo(listOf(request("/a")))
    }

    @Test
    fun `Given a response, when the target crashes within the window, then its run never counts`() {
        respond("/a")
        runs.targetCrashed()
        outlive()
        respond("/b")
        expectThat(survived()).isEmpty()
    }

    @Test
    fun `Given many requests, when they are survived, then those that come often are kept`() {
        repeat(2_000) {
            respond("/page")
            respond("/$it")
            outlive()
        }
        val kept = survived()
        expectThat(kept.size).isEqualTo(256)
        expectThat(request("/page") in kept).isEqualTo(true)
    }
}
