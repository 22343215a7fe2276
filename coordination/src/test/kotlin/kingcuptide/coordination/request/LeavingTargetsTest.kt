package kingcuptide.coordination.request

import kingcuptide.coordination.version.TargetId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class LeavingTargetsTest {
    private val leaving = LeavingTargets()

    private fun instance(startedAtUnixMs: Long?) = TargetInstance(TargetId("t"), startedAtUnixMs)

    private fun published(vararg instances: TargetInstance) = leaving.stateChanged(instances.toList())

    @Nested
    inner class `Instances with a known start` {
        @Test
        fun `Given an instance that leaves, when another starts later under its id, then that one does not`() {
            leaving.record(instance(5))
            expectThat(leaving.isLeaving(instance(5))).isTrue()
            expectThat(leaving.isLeaving(instance(9))).isFalse()
        }

        /** Guards against requests to a target that leaves, from a daemon that still has the entry before its last one. */
        @Test
        fun `Given an instance that leaves, when an earlier one is asked for, then it leaves too`() {
            leaving.record(instance(5))
            expectThat(leaving.isLeaving(instance(4))).isTrue()
            expectThat(leaving.record(instance(4))).isFalse()
            expectThat(leaving.isLeaving(instance(5))).isTrue()
        }

        @Test
        fun `Given an instance that leaves, when its entry is removed and published again, then it still leaves`() {
            published(instance(5))
            leaving.record(instance(5))
            published()
            published(instance(5))
            expectThat(leaving.isLeaving(instance(5))).isTrue()
        }
    }

    /** Guards against an id that never gets a request again, since nothing told which instance of it had left. */
    @Nested
    inner class `Instances without a known start` {
        @Test
        fun `Given a target without entry, when it leaves, then its id leaves until an entry is published`() {
            published()
            leaving.record(instance(null))
            expectThat(leaving.isLeaving(instance(null))).isTrue()
            published()
            expectThat(leaving.isLeaving(instance(9))).isTrue()
            published(instance(9))
            expectThat(leaving.isLeaving(instance(9))).isFalse()
        }

        @Test
        fun `Given an entry without start, when it says that it leaves, then it leaves until it is published again`() {
            published(instance(null))
            leaving.record(instance(null))
            published(instance(null))
            expectThat(leaving.isLeaving(instance(null))).isTrue()
            published()
            published(instance(null))
            expectThat(leaving.isLeaving(instance(null))).isFalse()
        }

        @Test
        fun `Given a known start, when the id is published again without one, then it is another instance`() {
            published(instance(5))
            leaving.record(instance(5))
            expectThat(leaving.isLeaving(instance(null))).isTrue()
            published()
            published(instance(null))
            expectThat(leaving.isLeaving(instance(null))).isFalse()
        }
    }
}
