package kingcuptide.bench.fleet

import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.ResourceContent
import kingcuptide.coordination.version.ResourceKind
import kingcuptide.coordination.version.SourceEffect
import kingcuptide.coordination.version.SourceOutcome
import java.util.WeakHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** How the platform responds to calls. */
enum class PlatformMode {
    /** Returns the version published last. */
    UP,

    /** Fails every call and every pending watch. */
    DOWN,

    /** Returns the versions that were visible when this mode began. */
    STALE,

    /** Returns the version before the last. */
    GOING_BACK,

    /** Responds as when up, with an additional delay. */
    SLOW,
}

/** The platform's read and watch service: serves calls one by one at [CALLS_PER_SECOND], and counts them by second. */
class FakePlatform(
    private val clock: VirtualClock,
    private val events: EventQueue,
) {
    /** Number of calls received, by second of virtual time. */
    val callsBySecond: MutableMap<Long, Int> = sortedMapOf()

    private val published = ResourceKind.entries.associateWith { mutableListOf<ResourceContent>() }
    private val visible = mutableMapOf<ResourceKind, ResourceContent>()
    private val watches = mutableListOf<Watch>()
    private val sizeByContent = WeakHashMap<ResourceContent, Int>()
    private var freeAt = Duration.ZERO
    private var staleContents: Map<ResourceKind, ResourceContent> = emptyMap()

    /** How the platform responds; [PlatformMode.DOWN] also fails the pending watches. */
    var mode: PlatformMode = PlatformMode.UP
        set(value) {
            if (value == PlatformMode.STALE) staleContents = visible.toMap()
            field = value
            if (value == PlatformMode.DOWN) dropWatches()
            refresh()
        }

    /** Publishes [content] as the newest version of its kind. */
    fun publish(content: ResourceContent) {
        published.getValue(content.kind) += content
        if (published.getValue(content.kind).size > MAX_VERSIONS_PER_KIND) published.getValue(content.kind).removeAt(0)
        refresh()
    }

    /** Accepts a call; [reply] receives its outcome in a later event. */
    fun call(effect: SourceEffect, reply: (SourceOutcome) -> Unit) {
        callsBySecond.merge(clock.now().toLong(DurationUnit.SECONDS), 1, Int::plus)
        freeAt = maxOf(freeAt, clock.now()) + SERVICE_TIME
        val modeDelay = if (mode == PlatformMode.SLOW) SLOW_MODE_DELAY else Duration.ZERO
        events.after(freeAt - clock.now() + modeDelay) { respond(effect, reply) }
    }

    private fun respond(effect: SourceEffect, reply: (SourceOutcome) -> Unit) {
        if (mode == PlatformMode.DOWN) return reply(SourceOutcome.Failed(ResultCode.SOURCE_UNAVAILABLE))
        val content = visible[effect.kind]
        if (content != null && sizeOf(content) > MAX_VALUE_BYTES) {
            return reply(SourceOutcome.Failed(ResultCode.DOCUMENT_TOO_LARGE))
        }
        when (effect) {
            is SourceEffect.ReadNow ->
                reply(content?.let { SourceOutcome.Changed(it) } ?: SourceOutcome.Failed(ResultCode.SOURCE_UNAVAILABLE))
            is SourceEffect.Watch -> watch(effect, content, reply)
        }
    }

    private fun watch(effect: SourceEffect.Watch, content: ResourceContent?, reply: (SourceOutcome) -> Unit) {
        if (content != null && content.version.number > effect.afterNumber) return reply(SourceOutcome.Changed(content))
        if (effect.wait == Duration.ZERO) return reply(SourceOutcome.Unchanged(content?.version?.number))
        val watch = Watch(effect, reply)
        watches += watch
        events.after(effect.wait) {
            if (watches.remove(watch)) reply(SourceOutcome.Unchanged(visible[effect.kind]?.version?.number))
        }
    }

    private fun refresh() {
        for (kind in ResourceKind.entries) {
            val content =
                when (mode) {
                    PlatformMode.STALE -> staleContents[kind]
                    PlatformMode.GOING_BACK -> published.getValue(kind).let {
                        it.getOrNull(it.size - 2)
                            ?: it.lastOrNull()
                    }
                    else -> published.getValue(kind).lastOrNull()
                }
            if (content != null) makeVisible(content)
        }
    }

    private fun makeVisible(content: ResourceContent) {
        if (visible[content.kind] == content) return
        visible[content.kind] = content
        val due = watches.filter { it.effect.kind == content.kind && it.effect.afterNumber < content.version.number }
        watches -= due.toSet()
        val outcome =
            if (sizeOf(content) > MAX_VALUE_BYTES) {
                SourceOutcome.Failed(ResultCode.DOCUMENT_TOO_LARGE)
            } else {
                SourceOutcome.Changed(content)
            }
        due.forEach { it.reply(outcome) }
    }

    /** Returns the size of [content] in bytes as the platform sends it. */
    fun sizeOf(content: ResourceContent): Int =
        sizeByContent.getOrPut(content) {
            content.entries.entries.sumOf { it.key.length + it.value.length + JSON_ENTRY_BYTES }
        }

    private fun dropWatches() {
        val dropped = watches.toList()
        watches.clear()
        dropped.forEach { it.reply(SourceOutcome.Failed(ResultCode.SOURCE_UNAVAILABLE)) }
    }

    private class Watch(
        val effect: SourceEffect.Watch,
        val reply: (SourceOutcome) -> Unit,
    )

    companion object {
        /** Size limit of a stored value. */
        const val MAX_VALUE_BYTES: Int = 1_048_576

        /** Capacity of the platform for the calls of all readers together. */
        const val CALLS_PER_SECOND: Int = 2_000
        private val SERVICE_TIME = 500.0.milliseconds / 1_000
        private val SLOW_MODE_DELAY = 1_500.milliseconds
        private const val MAX_VERSIONS_PER_KIND = 4
        private const val JSON_ENTRY_BYTES = 6
    }
}
