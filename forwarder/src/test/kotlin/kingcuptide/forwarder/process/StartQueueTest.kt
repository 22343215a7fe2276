package kingcuptide.forwarder.process

import kingcuptide.forwarder.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against starts that starve behind long rounds of I/O, and against withdrawals that are not read for long. */
internal class StartQueueTest {
    private val clock = ManualClock()
    private var turn: (() -> Unit)? = null
    private val log = CapturedLog()
    private val queue = StartQueue(clock, log.eventLog) { turn = it }
    private var started = 0

    private fun addStarts(count: Int) = repeat(count) {
        queue.add {
            started++
            clock.advance(START_TIME)
        }
    }

    private fun runRound(ioTime: Duration) {
        clock.advance(ioTime)
        turn.also { turn = null }?.invoke()
    }

    @Test
    fun `Given a round of I-O of 100 ms, when starts wait, then they run for as long before the next round`() {
        addStarts(100)
        runRound(100.milliseconds)
        expectThat(started).isEqualTo(20)
        expectThat(queue.isEmpty).isFalse()
        runRound(100.milliseconds)
        expectThat(started).isEqualTo(40)
    }

    @Test
    fun `Given a round of I-O of a second, when starts wait, then sockets are read again after a quarter of one`() {
        addStarts(100)
        runRound(1_000.milliseconds)
        expectThat(started).isEqualTo(50)
    }

    /** Guards against an error in a start that leaves no trace, since the event loop drops what its tasks throw. */
    @Test
    fun `Given a start that throws, when the turn ends, then it is reported and the others run`() {
        queue.add { error("broken") }
        addStarts(1)
        runRound(Duration.ZERO)
        expectThat(started).isEqualTo(1)
        expectThat(queue.isEmpty).isTrue()
        expectThat(log.lines).hasSize(1)
    }

    @Test
    fun `Given starts that wait, when an action comes first, then it runs before them`() {
        val order = ArrayList<String>()
        queue.add { order += "start" }
        queue.addFirst { order += "action" }
        runRound(Duration.ZERO)
        expectThat(order).containsExactly("action", "start")
    }

    private companion object {
        val START_TIME = 5.milliseconds
    }
}
