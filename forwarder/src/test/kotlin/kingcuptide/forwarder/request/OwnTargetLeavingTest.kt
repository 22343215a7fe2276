package kingcuptide.forwarder.request

import kingcuptide.coordination.process.FailureDomainId
import kingcuptide.coordination.process.ServiceId
import kingcuptide.coordination.request.LeavingTargets
import kingcuptide.coordination.request.TargetInstance
import kingcuptide.coordination.request.instance
import kingcuptide.coordination.version.PublishedItem
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.SourceItem
import kingcuptide.coordination.version.TargetEntry
import kingcuptide.coordination.version.TargetId
import kingcuptide.forwarder.ManualClock
import kingcuptide.forwarder.connection.NO_BYTES
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration

/** Guards against a target that gets no request after a restart under its id, since the instance before it has left. */
internal class OwnTargetLeavingTest {
    private var entry = entry(FIRST_START, reports = 0)
    private val published = PublishedState(ManualClock(), { PublishedItem.Target(entry) })
    private val leaving = LeavingTargets()
    private val target = OwnTargetLeaving(published, leaving)
    private var lastRevision = 0L

    private fun publish(startedAtUnixMs: Long) {
        entry = entry(startedAtUnixMs, reports = lastRevision)
        apply(SourceItem("t", ++lastRevision, NO_BYTES))
    }

    private fun remove() = apply(SourceItem("t", ++lastRevision, null))

    private fun apply(item: SourceItem) {
        published.apply(listOf(item))
        leaving.stateChanged(published.targets.map { it.entry.instance })
    }

    @Test
    fun `Given a removed entry, when its target says that it leaves and starts again, then the new instance is used`() {
        publish(FIRST_START)
        remove()
        val instance = target.instanceOf(ID)
        expectThat(instance).isEqualTo(TargetInstance(ID, FIRST_START))
        leaving.record(instance)
        expectThat(target.isLeaving(ID)).isTrue()
        expectThat(target.leavingInstanceOf(ID)).isEqualTo(instance)
        publish(LATER_START)
        expectThat(target.isLeaving(ID)).isFalse()
        expectThat(target.leavingInstanceOf(ID)).isNull()
    }

    /** The response is that of the earlier instance, although the entry of the later one is known when it arrives. */
    @Test
    fun `Given a request to an earlier instance, when its response comes late, then the new instance is used`() {
        publish(FIRST_START)
        val instance = target.instanceOf(ID)
        remove()
        publish(LATER_START)
        leaving.record(instance)
        expectThat(target.isLeaving(ID)).isFalse()
        expectThat(target.leavingInstanceOf(ID)).isNull()
    }

    @Test
    fun `Given a target that was never published, when it says that it leaves, then the next instance is used`() {
        leaving.record(target.instanceOf(ID))
        expectThat(target.isLeaving(ID)).isTrue()
        publish(LATER_START)
        expectThat(target.isLeaving(ID)).isFalse()
    }

    @Test
    fun `Given a start that is not reported, when its target leaves and is published again, then it is used`() {
        publish(TargetEntry.UNKNOWN_START)
        leaving.record(target.instanceOf(ID))
        publish(TargetEntry.UNKNOWN_START)
        expectThat(target.isLeaving(ID)).isTrue()
        remove()
        expectThat(target.isLeaving(ID)).isTrue()
        publish(TargetEntry.UNKNOWN_START)
        expectThat(target.isLeaving(ID)).isFalse()
    }

    /** Other daemons may still have the entry: they learn of the instance from the load reports. */
    @Test
    fun `Given an instance that left, when its successor leaves too, then the load reports name that one`() {
        publish(FIRST_START)
        leaving.record(target.instanceOf(ID))
        remove()
        publish(LATER_START)
        leaving.record(target.instanceOf(ID))
        expectThat(target.isLeaving(ID)).isTrue()
        expectThat(target.leavingInstanceOf(ID)).isEqualTo(TargetInstance(ID, LATER_START))
    }

    private companion object {
        val ID = TargetId("t")
        const val FIRST_START = 5L
        const val LATER_START = 9L

        fun entry(startedAtUnixMs: Long, reports: Long) = TargetEntry(
            ID,
            ServiceId("s"),
            "192.0.2.1",
            80,
            FailureDomainId("a"),
            "v1",
            10,
            leaving = false,
            coldFor = Duration.ZERO,
            startedAtUnixMs = startedAtUnixMs,
            reports = reports,
        )
    }
}
