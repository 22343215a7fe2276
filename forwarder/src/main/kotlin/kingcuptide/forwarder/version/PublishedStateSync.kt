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

/** The other daemons that are connected. */
interface PeerGroup {
    /** Returns one connection to each. */
    fun sessions(): Collection<PeerSession>

    fun regionOf(session: PeerSession): RegionId?

    val ownRegion: RegionId
}

/**
 * Keeps the published state equal among daemons.
 *
 * Readers of the source send updates to their own region and to one daemon of each other region, which relays them
 * there. Daemons compare digests with each ping; one that differs requests sections, from its own region first. An
 * older item never replaces a newer one, whatever its origin. Used on the event loop.
 */
class PublishedStateSync(
    private val clock: Clock,
    prefixes: List<String>,
    private val published: PublishedState,
    private val peers: PeerGroup,
    private val onChange: () -> Unit,
) {
    private var requestedAt = -Duration.INFINITE
    private var firstDifferenceAt: Duration? = null
    private val sections = prefixes.map { PublishedSection(it) }

    /** Returns the revision up to which each section is complete. */
    fun asOf(): List<Long> = sections.map { it.asOf }

    /** Returns the revision from which to watch [prefix]; 0 if all must be read. */
    fun asOf(prefix: String): Long = sectionOf(prefix).asOf

    /** Applies all items of [prefix] that this daemon has read from the source as of revision [asOf]. */
    fun readAll(prefix: String, items: List<SourceItem>, asOf: Long) {
        val section = sectionOf(prefix)
        sendUpdates(section, applyItems(section.replace(items, asOf)))
    }

    /** Applies changes from the source between revisions [after] and [asOf]; returns false on a gap before [after]. */
    fun readChanges(prefix: String, after: Long, items: List<SourceItem>, asOf: Long): Boolean {
        val section = sectionOf(prefix)
        val changed = section.advance(after, items, asOf) ?: return false
        sendUpdates(section, applyItems(changed))
        return true
    }

    /** Records that the state now equals the source, as this daemon has read it. */
    fun confirmed() = published.confirmed(Duration.ZERO)

    /** Compares the state with that of a peer, and requests sections if this daemon seems to lack something. */
    fun pinged(session: PeerSession, ping: PeerMessage.Ping) {
        if (ping.digest == published.digest()) return digestsMatch(ping)
        val differsSince = firstDifferenceAt ?: clock.now().also { firstDifferenceAt = it }
        val isBehind = ping.asOf.indices.any { it < sections.size && ping.asOf[it] > sections[it].asOf }
        if (!isBehind && !needsAllSections(session, differsSince)) return
        if (mayRequest(session, differsSince)) {
            session.send(PeerMessage.SectionRequest(if (isBehind) asOf() else sections.map { 0L }))
        }
    }

    /** An update to one of the two was lost. Neither is behind by its revision, since updates don't advance that. */
    private fun needsAllSections(session: PeerSession, differsSince: Duration): Boolean =
        isSameRegion(session) && clock.now() - differsSince >= FULL_REQUEST_DELAY

    private fun isSameRegion(session: PeerSession): Boolean = peers.regionOf(session) == peers.ownRegion

    /** Limits the request rate; a peer of another region gets one only if none of the own region has helped in time. */
    private fun mayRequest(session: PeerSession, differsSince: Duration): Boolean {
        val now = clock.now()
        val isSameRegion = isSameRegion(session)
        if (now - requestedAt < MIN_REQUEST_INTERVAL || (!isSameRegion && now - differsSince < OTHER_REGION_DELAY)) {
            return false
        }
        requestedAt = now
        return true
    }

    /** Sends a peer the sections in which it is behind. */
    fun sectionsRequested(session: PeerSession, request: PeerMessage.SectionRequest) {
        for ((index, section) in sections.withIndex()) {
            val after = request.asOf.getOrElse(index) { 0 }
            if (section.asOf <= after) continue
            session.send(PeerMessage.SectionSnapshot(index, section.asOf, section.present().map(::toWire)))
        }
    }

    /** Applies a section snapshot from a peer. */
    fun received(message: PeerMessage.SectionSnapshot) {
        val section = sections.getOrNull(message.section) ?: return
        applyItems(section.replace(message.items.map(::fromWire), message.asOf))
    }

    /** Applies the updates that a peer has just read or relayed. */
    fun received(message: PeerMessage.ItemUpdates) {
        val section = sections.getOrNull(message.section) ?: return
        val updated = applyItems(section.merge(message.items.mapNotNull { fromWire(section, it) }))
        if (message.relayInRegion && updated.isNotEmpty()) sendToOwnRegion(updatesOf(section, updated))
    }

    private fun digestsMatch(ping: PeerMessage.Ping) {
        firstDifferenceAt = null
        if (ping.contactAgeMs >= 0) published.confirmed(ping.contactAgeMs.milliseconds)
        for ((index, asOf) in ping.asOf.withIndex()) {
            val section = sections.getOrNull(index) ?: continue
            section.advance(section.asOf, emptyList(), if (section.asOf > 0) asOf else 0)
        }
    }

    private fun applyItems(changed: List<SourceItem>): List<SourceItem> {
        val updated = published.apply(changed)
        if (updated.isNotEmpty()) onChange()
        return updated
    }

    private fun sendUpdates(section: PublishedSection, updated: List<SourceItem>) {
        if (updated.isEmpty()) return
        val message = updatesOf(section, updated)
        sendToOwnRegion(message)
        val otherRegions = peers.sessions().filterNot(::isSameRegion)
        for (ofRegion in otherRegions.groupBy { peers.regionOf(it) }.values) {
            ofRegion.maxBy { it.lastReceivedAt }.send(message.copy(relayInRegion = true))
        }
    }

    private fun sendToOwnRegion(message: PeerMessage.ItemUpdates) =
        peers.sessions().filter(::isSameRegion).forEach { it.send(message) }

    private fun updatesOf(section: PublishedSection, updated: List<SourceItem>) =
        PeerMessage.ItemUpdates(sections.indexOf(section), relayInRegion = false, updated.map { toUpdate(section, it) })

    private fun sectionOf(prefix: String): PublishedSection = sections.first { it.prefix == prefix }

    private fun toWire(item: SourceItem) = PeerMessage.Item(item.key, item.revision, item.value)

    /** Sends large items as deltas: most peers have the previous version, and the others request the section. */
    private fun toUpdate(section: PublishedSection, item: SourceItem): PeerMessage.Item {
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
        /** Shortest time between two requests for sections. */
        val MIN_REQUEST_INTERVAL = 300.milliseconds

        /** Time after which daemons that differ request everything; updates reach a region in a fraction of it. */
        val FULL_REQUEST_DELAY = 500.milliseconds

        /** Time for peers of the own region to send what is missing before one of another region gets a request. */
        val OTHER_REGION_DELAY = 400.milliseconds
    }
}
