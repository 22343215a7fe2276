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

/** How the platform answers. */
enum class PlatformMode {
    /** It answers with what was published last. */
    UP,

    /** Every call fails; waiting watches are dropped. */
    DOWN,

    /** It answers with what it had when this mode began. */
    STALE,

    /** It answers with the version before the last. */
    GOING_BACK,

    /** It answers as when up, but late. */
    SLOW,
}

/** The platform's read-and-watch service: answers calls in turn at [CALLS_PER_SECOND], and counts them by second. */
class FakePlatform(
    private val clock: VirtualClock,
    private val events: EventQueue,
) {
    /** Calls that arrived, by second of virtual time. */
    val callsBySecond: MutableMap<Long, Int> = sortedMapOf()

    private val published = ResourceKind.entries.associateWith { mutableListOf<ResourceContent>() }
    private val shown = mutableMapOf<ResourceKind, ResourceContent>()
    private val watches = mutableListOf<Watch>()
    private val sizes = WeakHashMap<ResourceContent, Int>()
    private var freeAt = Duration.ZERO
    private var stale: Map<ResourceKind, ResourceContent> = emptyMap()

    /** How the platform answers. */
    var mode: PlatformMode = PlatformMode.UP
        set(value) {
            if (value == PlatformMode.STALE) stale = shown.toMap()
            field = value
            if (value == PlatformMode.DOWN) dropWatches()
            refresh()
        }

    /** Accepts [content] as the newest version of its kind. */
    fun publish(content: ResourceContent) {
        published.getValue(content.kind) += content
        if (published.getValue(content.kind).size > MAX_KEPT) published.getValue(content.kind).removeAt(0)
        refresh()
    }

    /** Takes a call, and gives its outcome to [reply] later. */
    fun call(effect: SourceEffect, reply: (SourceOutcome) -> Unit) {
        callsBySecond.merge(clock.now().toLong(DurationUnit.SECONDS), 1, Int::plus)
        freeAt = maxOf(freeAt, clock.now()) + SERVICE_TIME
        val extra = if (mode == PlatformMode.SLOW) SLOW_BY else Duration.ZERO
        events.after(freeAt - clock.now() + extra) { answer(effect, reply) }
    }

    private fun answer(effect: SourceEffect, reply: (SourceOutcome) -> Unit) {
        if (mode == PlatformMode.DOWN) return reply(SourceOutcome.Failed(ResultCode.SOURCE_UNAVAILABLE))
        val content = shown[effect.kind]
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
            if (watches.remove(watch)) reply(SourceOutcome.Unchanged(shown[effect.kind]?.version?.number))
        }
    }

    private fun refresh() {
        for (kind in ResourceKind.entries) {
            val content =
                when (mode) {
                    PlatformMode.STALE -> stale[kind]
                    PlatformMode.GOING_BACK -> published.getValue(kind).let {
                        it.getOrNull(it.size - 2)
                            ?: it.lastOrNull()
                    }
                    else -> published.getValue(kind).lastOrNull()
                }
            if (content != null) show(content)
        }
    }

    private fun show(content: ResourceContent) {
        if (shown[content.kind] == content) return
        shown[content.kind] = content
        val ready = watches.filter { it.effect.kind == content.kind && it.effect.afterNumber < content.version.number }
        watches -= ready.toSet()
        val outcome =
            if (sizeOf(content) > MAX_VALUE_BYTES) {
                SourceOutcome.Failed(ResultCode.DOCUMENT_TOO_LARGE)
            } else {
                SourceOutcome.Changed(content)
            }
        ready.forEach { it.reply(outcome) }
    }

    /** Returns the size of [content] as the platform sends it. */
    fun sizeOf(content: ResourceContent): Int =
        sizes.getOrPut(content) { content.entries.entries.sumOf { it.key.length + it.value.length + JSON_ENTRY_BYTES } }

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
        /** The greatest value that the platform holds. */
        const val MAX_VALUE_BYTES: Int = 1_048_576

        /** What the platform bears from all readers together. */
        const val CALLS_PER_SECOND: Int = 2_000
        private val SERVICE_TIME = 500.0.milliseconds / 1_000
        private val SLOW_BY = 1_500.milliseconds
        private const val MAX_KEPT = 4
        private const val JSON_ENTRY_BYTES = 6
    }
}
