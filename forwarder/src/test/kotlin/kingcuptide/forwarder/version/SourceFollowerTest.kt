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
import kingcuptide.forwarder.connection.PeerSession
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
    private val duty = ReaderRole("host")
    private val picture = PublishedState(time, NoFacts)
    private val state = PublishedStateSync(time, source.parts.map { it.prefix }, picture, NoPeers) {}
    private val follower =
        SourceFollower(CoroutineScope(time), time, source, state, Random(1), isFirstStart = false, duty)

    private fun claim(host: String) = ReaderReport(host, 0, ReaderState.READING, Duration.ZERO)

    private fun decide(vararg claims: ReaderReport) = duty.decide(claims.toList(), 0, picture.age())

    @Nested
    inner class `Given a daemon that starts` {
        @Test
        fun `when it reads, then the first read is a allowStale one, and the watch goes on from its revision`() {
            follower.start()
            time.advance(500.milliseconds)
            expectThat(source.calls.take(3)).containsExactly("things/ cheap", "rare/ cheap", "watch 7")
        }

        @Test
        fun `when it has read only what may be old, then it does not claim to know what is current`() {
            follower.start()
            time.advance(250.milliseconds)
            expectThat(source.calls).containsExactly("things/ cheap", "rare/ cheap")
            expectThat(follower.isInContact).isFalse()
            expectThat(picture.age()).isEqualTo(Duration.INFINITE)
            time.advance(1.seconds)
            expectThat(follower.isInContact).isTrue()
            expectThat(picture.age()).isLessThan(1.seconds)
        }

        @Test
        fun `when two peers are found to read, then it makes no further call`() {
            follower.start()
            time.advance(250.milliseconds)
            picture.confirmed(Duration.ZERO)
            decide(claim("a"), claim("b"))
            time.advance(10.seconds)
            expectThat(source.calls).containsExactly("things/ cheap", "rare/ cheap")
        }
    }

    @Nested
    inner class `Given a source in trouble` {
        @Test
        fun `when the history is gone, then all is read again, and not cheaply`() {
            source.isHistoryGone = true
            follower.start()
            time.advance(500.milliseconds)
            expectThat(source.calls.drop(2).take(3)).containsExactly("watch 7", "things/ whole", "rare/ whole")
        }

        @Test
        fun `when it was silent for a while, then what changes seldom is heard of as soon as all else`() {
            follower.start()
            time.advance(2.seconds)
            source.isSilent = true
            time.advance(6.seconds)
            source.isSilent = false
            source.revision = 20
            time.advance(SILENT_CALL + PACE + 100.milliseconds)
            expectThat(state.asOf(RARE_PREFIX)).isEqualTo(20)
        }

        @Test
        fun `when calls fail, then they are repeated ever more seldom, and contact is lost`() {
            follower.start()
            time.advance(1.seconds)
            source.isDown = true
            val before = source.calls.size
            time.advance(8.seconds)
            expectThat(source.calls.size - before).isLessThan(20)
            expectThat(follower.isInContact).isFalse()
        }
    }

    @Test
    fun `Given a way to the source that takes its time, when it is measured, then the shortest time is kept`() {
        follower.start()
        time.advance(5.seconds)
        expectThat(follower.reachTime).isEqualTo(24.milliseconds)
    }

    private inner class ScriptedSource : Source {
        val calls = ArrayList<String>()
        var isDown = false
        var isHistoryGone = false
        private val reachTimes = ArrayDeque(listOf(90, 24, 31, 30).map { it.milliseconds })

        var isSilent = false
        var revision = 7L

        override val parts = listOf(SourcePart(PREFIX, isLarge = false), SourcePart(RARE_PREFIX, isLarge = true))
        override val minWatchInterval = PACE

        override suspend fun readAll(prefix: String, allowStale: Boolean): SourceResult {
            calls += "$prefix ${if (allowStale) "cheap" else "whole"}"
            delay(4)
            return if (isDown) SourceResult.Failed("down") else SourceResult.Items(emptyList(), revision)
        }

        override suspend fun measureConnectTime(): Duration? = reachTimes.removeFirstOrNull()

        override suspend fun watch(after: Long): SourceResult {
            calls += "watch $after"
            if (isSilent) return silence()
            delay(4)
            if (isDown) return SourceResult.Failed("down")
            if (isHistoryGone) return SourceResult.HistoryGone
            val changes = listOf(SourceItem(RARE_PREFIX + "a", revision, null)).filter { revision > after }
            return SourceResult.Items(changes, maxOf(after, revision))
        }

        private suspend fun silence(): SourceResult {
            delay(SILENT_CALL.inWholeMilliseconds)
            return SourceResult.Failed("no answer")
        }
    }

    private object NoFacts : PublishedItemDecoder {
        override fun decode(item: SourceItem): PublishedItem = PublishedItem.Unusable("none is used here")
    }

    private object NoPeers : PeerGroup {
        override fun sessions(): Collection<PeerSession> = emptyList()

        override fun regionOf(session: PeerSession): RegionId? = null

        override val ownRegion = RegionId("north")
    }

    private companion object {
        const val PREFIX = "things/"
        const val RARE_PREFIX = "rare/"

        /** A call that waits for changes, and the time that the source has to answer it. */
        val SILENT_CALL = 2_500.milliseconds
        val PACE = 800.milliseconds
    }
}
