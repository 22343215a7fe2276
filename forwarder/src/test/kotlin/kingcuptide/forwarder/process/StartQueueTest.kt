package kingcuptide.forwarder.process

import kingcuptide.forwarder.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize

internal class StartQueueTest {
    private val turns = ArrayDeque<() -> Unit>()
    private val log = CapturedLog()
    private val starts = StartQueue(ManualClock(), log.eventLog) { turns += it }

    /** Guards against an error in a start that leaves no trace, since the event loop drops what its tasks throw. */
    @Test
    fun `Given a start that throws, when the turn ends, then it is reported and the others run`() {
        val started = ArrayList<Int>()
        starts.add { error("broken") }
        starts.add { started += 2 }
        while (turns.isNotEmpty()) turns.removeFirst()()
        expectThat(started).containsExactly(2)
        expectThat(log.lines).hasSize(1)
    }
}
