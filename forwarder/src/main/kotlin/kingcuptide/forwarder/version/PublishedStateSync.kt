package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.version.PublishedSection
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.SourceItem
import kingcuptide.coordination.version.TextDelta
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The other daemons, as far as they can be reached. */
interface PeerGroup {
    /** One connection to each. */
    fun sessions(): Collection<PeerSession>

    fun regionOf(session: PeerSession): RegionId?

    val ownRegion: RegionId
}

/**
 * What is published, as this daemon holds it and as daemons tell each other.
 *
 * Those that read the source pass on what changes, to one daemon of each other region, which passes it on in its own. All
 * compare digests with each ping, and who differs asks, near ones first. Nothing older replaces anything newer, whoever
 * brings it. Used on the event loop.
 */
class PublishedStateSync(
    private val clock: Clock,
    prefixes: List<String>,
    private val picture: PublishedState,
    private val circle: PeerGroup,
    private val onChange: () -> Unit,
) {
    private var askedAt = -Duration.INFINITE
    private var differsSince: Duration? = null
    private val sections = prefixes.map { PublishedSection(it) }

    /** Revisions up to which each section is complete. */
    fun asOf(): List<Long> = sections.map { it.asOf }

    /** Revision from which to watch [prefix]; 0 if all must be read. */
    fun asOf(prefix: String): Long = sectionOf(prefix).asOf

    /** Takes all items of [prefix] as the source just gave them. */
    fun readAll(prefix: String, items: List<SourceItem>, asOf: Long) {
        val section = sectionOf(prefix)
        tell(section, take(section.replace(items, asOf)))
    }

    /** Takes changes that the source just gave; false if there is a gap before them. */
    fun readChanges(prefix: String, after: Long, items: List<SourceItem>, asOf: Long): Boolean {
        val section = sectionOf(prefix)
        val changed = section.advance(after, items, asOf) ?: return false
        tell(section, take(changed))
        return true
    }

    /** The source, as read by this daemon, holds nothing that is not here. */
    fun confirmed() = picture.confirmed(Duration.ZERO)

    /** Compares with what a peer says of itself. */
    fun pinged(session: PeerSession, ping: PeerMessage.Ping) {
        if (ping.digest == picture.digest()) return agreed(ping)
        val since = differsSince ?: clock.now().also { differsSince = it }
        val lacks = ping.asOf.indices.any { it < sections.size && ping.asOf[it] > sections[it].asOf }
        if (!lacks && !isStuck(session, since)) return
        if (mayAsk(session, since)) session.send(PeerMessage.Ask(if (lacks) asOf() else sections.map { 0L }))
    }

    /** News to one of the two was lost: neither is behind by its revision, since news don't move that. */
    private fun isStuck(session: PeerSession, since: Duration): Boolean =
        isNear(session) && clock.now() - since >= STUCK_AFTER

    private fun isNear(session: PeerSession): Boolean = circle.regionOf(session) == circle.ownRegion

    /** One question at a time; a peer of another region is asked only if none of the own one has helped. */
    private fun mayAsk(session: PeerSession, since: Duration): Boolean {
        val now = clock.now()
        val isNear = isNear(session)
        if (now - askedAt < ASK_INTERVAL || (!isNear && now - since < NEAR_FIRST)) return false
        askedAt = now
        return true
    }

    /** Answers a peer that lacks something. */
    fun asked(session: PeerSession, ask: PeerMessage.Ask) {
        for ((index, section) in sections.withIndex()) {
            val after = ask.asOf.getOrElse(index) { 0 }
            if (section.asOf <= after) continue
            session.send(PeerMessage.Whole(index, section.asOf, section.present().map(::toWire)))
        }
    }

    /** Takes in a whole section from a peer. */
    fun received(message: PeerMessage.Whole) {
        val section = sections.getOrNull(message.section) ?: return
        take(section.replace(message.items.map(::fromWire), message.asOf))
    }

    /** Takes in what a peer has just read. */
    fun received(message: PeerMessage.ItemUpdates) {
        val section = sections.getOrNull(message.section) ?: return
        val news = take(section.merge(message.items.mapNotNull { fromWire(section, it) }))
        if (message.passOn && news.isNotEmpty()) tellOwnRegion(newsOf(section, news))
    }

    private fun agreed(ping: PeerMessage.Ping) {
        differsSince = null
        if (ping.contactAgeMs >= 0) picture.confirmed(ping.contactAgeMs.milliseconds)
        for ((index, asOf) in ping.asOf.withIndex()) {
            val section = sections.getOrNull(index) ?: continue
            section.advance(section.asOf, emptyList(), if (section.asOf > 0) asOf else 0)
        }
    }

    private fun take(changed: List<SourceItem>): List<SourceItem> {
        val news = picture.apply(changed)
        if (news.isNotEmpty()) onChange()
        return news
    }

    private fun tell(section: PublishedSection, news: List<SourceItem>) {
        if (news.isEmpty()) return
        val message = newsOf(section, news)
        tellOwnRegion(message)
        val others = circle.sessions().filterNot(::isNear)
        for (ofRegion in others.groupBy { circle.regionOf(it) }.values) {
            ofRegion.maxBy { it.lastHeardAt }.send(message.copy(passOn = true))
        }
    }

    private fun tellOwnRegion(message: PeerMessage.ItemUpdates) =
        circle.sessions().filter(::isNear).forEach { it.send(message) }

    private fun newsOf(section: PublishedSection, news: List<SourceItem>) =
        PeerMessage.ItemUpdates(sections.indexOf(section), passOn = false, news.map { toNews(section, it) })

    private fun sectionOf(prefix: String): PublishedSection = sections.first { it.prefix == prefix }

    private fun toWire(item: SourceItem) = PeerMessage.Item(item.key, item.revision, item.value)

    /** Large items go as deltas: the peers mostly hold what this daemon held, and the others ask. */
    private fun toNews(section: PublishedSection, item: SourceItem): PeerMessage.Item {
        val base = section.replacedBy(item)
        val baseValue = base?.value
        val value = item.value
        if (baseValue == null || value == null) return toWire(item)
        val delta = TextDelta.between(baseValue, value)
        val additions = delta.additions.map { String(it, Charsets.ISO_8859_1) }
        return PeerMessage.Item(
            item.key,
            item.revision,
            delta = PeerMessage.Delta(base.revision, delta.copies, additions),
        )
    }

    private fun fromWire(section: PublishedSection, item: PeerMessage.Item): SourceItem? {
        val delta = item.delta ?: return fromWire(item)
        val base = section.item(item.key)?.takeIf { it.revision == delta.baseRevision } ?: return null
        val additions = delta.additions.map { it.toByteArray(Charsets.ISO_8859_1) }
        val value = base.value?.let { TextDelta(delta.copies, additions).applyTo(it) } ?: return null
        return SourceItem(item.key, item.revision, value)
    }

    private fun fromWire(item: PeerMessage.Item) = SourceItem(item.key, item.revision, item.value)

    private companion object {
        /** Shortest time between two questions. */
        val ASK_INTERVAL = 300.milliseconds

        /** Time after which two that differ ask for all: news are told to a region within a fraction of it. */
        val STUCK_AFTER = 500.milliseconds

        /** Time that peers of the own region have to tell, before one of another is asked. */
        val NEAR_FIRST = 400.milliseconds
    }
}
