package kingcuptide.forwarder.connection

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isFalse

/** Guards against an id that is forgotten too soon, so that a late copy of its response passes for the next one. */
internal class RecentIdsTest {
    @Test
    fun `Given more ids than are kept, when some are looked up, then it has the last 256 of them and no other`() {
        val ids = RecentIds()
        expectThat("0" in ids).isFalse()
        for (last in 0..2_000) {
            ids.add("$last")
            val known = listOf(last, last - 255, last - 256, last + 1).map { it >= 0 && "$it" in ids }
            expectThat(known).describedAs("$last").containsExactly(true, last >= 255, false, false)
        }
    }
}
