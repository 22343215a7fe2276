package kingcuptide.forwarder.version

import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.version.PublishedItem
import kingcuptide.coordination.version.PublishedItemDecoder
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.ReaderReport
import kingcuptide.coordination.version.ReaderRole
import kingcuptide.coordination.version.ReaderState
import kingcuptide.coordination.version.SourceItem
import kingcuptide.forwarder.VirtualTime
import kingcuptide.forwarder.connection.StatePeer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class SourceFollowerTest {
    private val time = VirtualTime()
    private val source = ScriptedSource()
    private val readerRole = ReaderRole("host")
    private val published = PublishedState(time, NoItems)
    private val state = PublishedStateSync(time, source.parts.map { it.prefix }, published, NoPeers) {}
    private val follower =
        SourceFollower(CoroutineScope(time), time, source, state, Random(1), isFirstStart = false, readerRole)

    private fun readerReport(host: String) = ReaderReport(host, 0, ReaderState.READING, Duration.ZERO)

    private fun decide(vararg claims: ReaderReport) = readerRole.decide(claims.toList(), 0, published.age())

    @Nested
    inner class `Given a daemon that starts` {
        @Test
        fun `when it reads, then the first read may be stale, and the watch continues from its revision`() {
            follower.start()
            time.advance(500.milliseconds)
            expectThat(source.calls.take(3)).containsExactly("things/ cheap", "rare/ cheap", "watch 7")
        }

        @Test
        fun `when it has only stale reads, then it does not report contact`() {
            follower.start()
            time.advance(250.milliseconds)
            expectThat(source.calls).containsExactly("things/ cheap", "rare/ cheap")
            expectThat(follower.isInContact).isFalse()
            expectThat(published.age()).isEqualTo(Duration.INFINITE)
            time.advance(1.seconds)
            expectThat(follower.isInContact).isTrue()
            expectThat(published.age()).isLessThan(1.seconds)
        }

        @Test
        fun `when two peers are readers, then it makes no further call`() {
            follower.start()
            time.advance(250.milliseconds)
            published.confirmed(Duration.ZERO)
            decide(readerReport("a"), readerReport("b"))
            time.advance(10.seconds)
            expectThat(source.calls).containsExactly("things/ cheap", "rare/ cheap")
        }
    }

    @Nested
    inner class `Given a failing source` {
        @Test
        fun `when the history is gone, then all is read again without stale reads`() {
            source.isHistoryGone = true
            follower.start()
            time.advance(500.milliseconds)
            expectThat(source.calls.drop(2).take(3)).containsExactly("watch 7", "things/ whole", "rare/ whole")
        }

        @Test
        fun `when it was unresponsive for a while, then rare changes arrive as soon as all others`() {
            follower.start()
            time.advance(2.seconds)
            source.isUnresponsive = true
            time.advance(6.seconds)
            source.isUnresponsive = false
            source.revision = 20
            time.advance(UNRESPONSIVE_CALL + PACE + 100.milliseconds)
            expectThat(state.asOf(RARE_PREFIX)).isEqualTo(20)
        }

        @Test
        fun `when calls fail, then they are retried with backoff, and contact is lost`() {
            follower.start()
            time.advance(1.seconds)
            source.isDown = true
            val before = source.calls.size
            time.advance(8.seconds)
            expectThat(source.calls.size - before).isLessThan(20)
            expectThat(follower.isInContact).isFalse()
        }
    }

    /** Guards against a daemon that follows the source no more after one error of its own. */
    @Test
    fun `Given calls that throw unexpected errors, when they end, then the source is followed again`() {
        source.error = IllegalStateException("test")
        follower.start()
        time.advance(5.seconds)
        expectThat(follower.isInContact).isFalse()
        source.error = null
        time.advance(10.seconds)
        expectThat(follower.isInContact).isTrue()
        source.error = StackOverflowError()
        time.advance(5.seconds)
        expectThat(follower.isInContact).isFalse()
        source.error = null
        time.advance(10.seconds)
        expectThat(follower.isInContact).isTrue()
    }

    @Test
    fun `Given varying connect times to the source, when they are measured, then the shortest is kept`() {
        follower.start()
        time.advance(5.seconds)
        expectThat(follower.connectTime).isEqualTo(24.milliseconds)
    }

    private inner class ScriptedSource : Source {
        val calls = ArrayList<String>()
        var isDown = false
        var isHistoryGone = false
        private val connectTimes = ArrayDeque(listOf(90, 24, 31, 30).map { it.milliseconds })

        var error: Throwable? = null
        var isUnresponsive = false
        var revision = 7L

        override val parts = listOf(SourcePart(PREFIX, isLarge = false), SourcePart(RARE_PREFIX, isLarge = true))
        override val minWatchInterval = PACE

        override suspend fun readAll(prefix: String, allowStale: Boolean): SourceResult {
            calls += "$prefix ${if (allowStale) "cheap" else "whole"}"
            delay(4)
            error?.let { throw it }
            return if (isDown) SourceResult.Failed("down") else SourceResult.Items(emptyList(), revision)
        }

        override suspend fun measureConnectTime(): Duration? = connectTimes.removeFirstOrNull()

        override suspend fun watch(after: Long): SourceResult {
            calls += "watch $after"
            if (isUnresponsive) return noResponse()
            delay(4)
            error?.let { throw it }
            if (isDown) return SourceResult.Failed("down")
            if (isHistoryGone) return SourceResult.HistoryGone
            val changes = listOf(SourceItem(RARE_PREFIX + "a", revision, null)).filter { revision > after }
            return SourceResult.Items(changes, maxOf(after, revision))
        }

        private suspend fun noResponse(): SourceResult {
            delay(UNRESPONSIVE_CALL.inWholeMilliseconds)
            return SourceResult.Failed("no response")
        }
    }

    private object NoItems : PublishedItemDecoder {
        override fun decode(item: SourceItem): PublishedItem = PublishedItem.Unusable("none is used here")
    }

    private object NoPeers : PeerGroup {
        override fun sessions(): Collection<StatePeer> = emptyList()

        override fun regionOf(peer: StatePeer): RegionId? = null

        override val ownRegion = RegionId("north")
    }

    private companion object {
        const val PREFIX = "things/"
        const val RARE_PREFIX = "rare/"

        /** Duration of a watch that times out: the wait for changes plus the response timeout. */
        val UNRESPONSIVE_CALL = 2_500.milliseconds
        val PACE = 800.milliseconds
    }
}
