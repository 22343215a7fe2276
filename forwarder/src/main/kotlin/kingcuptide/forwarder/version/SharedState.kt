package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.FleetPicture
import kingcuptide.coordination.version.PublishedSection
import kingcuptide.coordination.version.SourceItem
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.PeerSession
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What is published, as this daemon holds it and as daemons tell each other.
 *
 * Those that read the source pass on what changes; all compare digests with each ping, and who differs asks. Nothing
 * older replaces anything newer, whoever brings it. Used on the event loop.
 */
class SharedState(
    private val clock: Clock,
    prefixes: List<String>,
    private val picture: FleetPicture,
    private val tellAll: (PeerMessage) -> Unit,
    private val onChange: () -> Unit,
) {
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
        val lacks = ping.asOf.indices.any { it < sections.size && ping.asOf[it] > sections[it].asOf }
        if (!lacks || clock.now() - session.lastAskAt < ASK_INTERVAL) return
        session.lastAskAt = clock.now()
        session.send(PeerMessage.Ask(asOf()))
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
    fun received(message: PeerMessage.News) {
        val section = sections.getOrNull(message.section) ?: return
        take(section.merge(message.items.map(::fromWire)))
    }

    private fun agreed(ping: PeerMessage.Ping) {
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
        tellAll(PeerMessage.News(sections.indexOf(section), news.map(::toWire)))
    }

    private fun sectionOf(prefix: String): PublishedSection = sections.first { it.prefix == prefix }

    private fun toWire(item: SourceItem) = PeerMessage.Item(item.key, item.revision, item.value)

    private fun fromWire(item: PeerMessage.Item) = SourceItem(item.key, item.revision, item.value)

    private companion object {
        /** Shortest time between two questions on one connection. */
        val ASK_INTERVAL = 300.milliseconds
    }
}
