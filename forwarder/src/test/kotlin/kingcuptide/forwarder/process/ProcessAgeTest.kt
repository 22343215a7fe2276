package kingcuptide.forwarder.process

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against an age that is too great, with which a restarted host would spend a part that is still lent. */
internal class ProcessAgeTest {
    private fun statWith(startTicks: Long) = "7 (a b) c) S 1 7 7 0 -1 4 0 0 0 0 1 2 0 0 20 0 9 0 $startTicks 5 6"

    @Test
    fun `Given a process that started 1,5 s ago, when its age is read, then it is that less the resolution`() {
        expectThat(processAge(statWith(9_850), "100.00 300.00\n")).isEqualTo(1_480.milliseconds)
    }

    @Test
    fun `Given an uptime that counts from another origin, when the age is read, then it is zero`() {
        expectThat(processAge(statWith(9_850), "3.00 1.00\n")).isEqualTo(Duration.ZERO)
    }
}
