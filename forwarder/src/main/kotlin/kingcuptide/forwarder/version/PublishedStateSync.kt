package kingcuptide.forwarder.version

import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.version.PublishedSection
import kingcuptide.coordination.version.PublishedState
import kingcuptide.coordination.version.SectionListing
import kingcuptide.coordination.version.SourceItem
import kingcuptide.coordination.version.SourcePosition
import kingcuptide.coordination.version.TextDelta
import kingcuptide.forwarder.connection.PeerMessage
import kingcuptide.forwarder.connection.StatePeer
import kingcuptide.forwarder.process.eventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps the published state equal among daemons.
 *
 * Readers of the source send updates to their own region and to two daemons of each other region, which relay them
 * there. An update says between which revisions it is complete, so a receiver that has missed an earlier one sees the
 * gap and requests what it lacks. Daemons also compare digests with each ping. An older item never replaces a newer
 * one, whatever its origin. Used on the event loop.
 */
class PublishedStateSync(
    private val clock: Clock,
    prefixes: List<String>,
    private val published: PublishedState,
    private val peers: PeerGroup,
    private val onChange: () -> Unit,
) {
    private val sections = prefixes.map { PublishedSection(it, published) }

    /** Latest era of the source that this daemon has heard of. */
    var era = 0L
        private set

    private var restoringUntil = -Duration.INFINITE

    /** Whether operators and targets may still write again what a restored source has lost. */
    private val isRestoring: Boolean get() = clock.now() < restoringUntil

    /** How often the source has come back from an older copy while this daemon had state. */
    var restores = 0L
        private set

    /** Revision for each section up to which updates were sent or received. */
    private val announced = LongArray(prefixes.size)
    private val gap = StateGap(clock, ::isSameRegion)
    private var differsSince: Duration? = null

    /** Whether listings of what has changed can't be applied, since this daemon lacks an unchanged item. */
    private var needsWhole = false

    /** Returns the revision up to which each section is complete. */
    fun asOf(): List<Long> = sections.map { it.asOf }

    /** Returns the revision from which to watch [prefix]; 0 if all must be read. */
    fun asOf(prefix: String): Long = sections[indexOf(prefix)].asOf

    /** Applies all items of [prefix] that this daemon has read from the source as of revision [asOf]. */
    fun readAll(prefix: String, items: List<SourceItem>, asOf: Long) {
        val index = indexOf(prefix)
        recordEra(asOf)
        val isFirst = sections[index].asOf == 0L
        val changed = sections[index].replace(items, asOf, isRestoring)
        apply(changed)
        sections[index].recordEffect(changed)
        if (isFirst) announced[index] = asOf else announce(index, changed)
    }

    /**
     * Applies all changes from the source between revisions [after] and [asOf], in their order; returns false on a gap
     * before [after].
     *
     * An item that changed several times has an effect even if it equals the one held: peers may hold what was between. So
     * has each that is written again after a restore: this daemon may have kept it, and peers may never have had it.
     */
    fun readChanges(prefix: String, after: Long, items: List<SourceItem>, asOf: Long): Boolean {
        val index = indexOf(prefix)
        val changesByKey = items.filter { it.revision > sections[index].asOf }.groupBy { it.key }
        val latest = changesByKey.values.map { it.last() }
        val changed = sections[index].advance(after, latest, asOf) ?: return false
        val effectiveHere = apply(changed).toSet()
        val effective =
            latest.filter { isRestoring || it in effectiveHere || changesByKey.getValue(it.key).size > 1 }
        sections[index].recordEffect(effective)
        announce(index, effective)
        return true
    }

    /** Records that the state now equals the source, as this daemon has read it. */
    fun confirmed() = published.confirmed(Duration.ZERO)

    /** Compares the state with that of a peer, and requests what this daemon lacks. */
    fun pinged(peer: StatePeer, ping: PeerMessage.Ping) {
        if (ping.digest == published.digest()) return digestsMatch(ping)
        val since = differsSince ?: clock.now().also { differsSince = it }
        if (sections.withIndex().any { (index, section) -> ping.asOf.getOrElse(index) { 0 } > section.asOf }) {
            gap.offered(peer, ping.asOf)
            requestMissing()
        } else if (isSameRegion(peer) && clock.now() - since >= FULL_REQUEST_DELAY && gap.mayAsk()) {
            requestWhole(peer)
        }
    }

    /** Requests again what is still missing; called a few times a second. */
    fun tick() {
        if (gap.isOpen) requestMissing()
    }

    /** Sends a peer the sections in which it is behind. */
    fun sectionsRequested(peer: StatePeer, request: PeerMessage.SectionRequest) {
        for ((index, section) in sections.withIndex()) {
            val base = request.asOf.getOrElse(index) { 0 }
            if (section.asOf > base) peer.send(snapshotOf(index, section.listingSince(base)))
        }
    }

    /** Applies a section snapshot from [peer]; what comes from another region is relayed in the own region. */
    fun received(peer: StatePeer, message: PeerMessage.SectionSnapshot) {
        val section = sections.getOrNull(message.section) ?: return
        recordEra(message.asOf)
        val items = message.items.map { SourceItem(it.key, it.revision, it.value) }
        val listing = SectionListing(message.base, message.asOf, items, message.unchangedKeys)
        val changed = section.apply(listing, isRestoring)
        if (changed == null) {
            log.info("snapshot_skipped", *fieldsOf(section, message.base))
            if (!needsWhole) requestWhole(peer)
            needsWhole = true
            return
        }
        if (message.base == 0L) needsWhole = false
        if (message.asOf < section.asOf) log.info("snapshot_older", *fieldsOf(section, message.asOf))
        val effective = applyFromPeer(message.section, changed)
        if (effective.isEmpty() && (message.base == 0L || changed.isEmpty())) return
        announced[message.section] = maxOf(announced[message.section], message.asOf)
        if (!isSameRegion(peer)) sendToOwnRegion(message)
    }

    /** Applies the updates that [peer] has just read or relayed. */
    fun received(peer: StatePeer, message: PeerMessage.ItemUpdates) {
        val section = sections.getOrNull(message.section) ?: return
        if (message.asOf <= section.asOf) return
        recordEra(message.asOf)
        announced[message.section] = maxOf(announced[message.section], message.asOf)
        if (message.relayInRegion) sendToOwnRegion(message.copy(relayInRegion = false))
        val items = message.items.mapNotNull { fromWire(section, it) }
        val changed = if (items.size < message.items.size) null else section.advance(message.after, items, message.asOf)
        if (changed != null) {
            applyFromPeer(message.section, changed)
            // An update of one section says nothing of another one, whose first read may have been old.
            if (message.contactAgeMs >= 0 && published.isConfirmed) {
                published.confirmed(message.contactAgeMs.milliseconds)
            }
            return
        }
        log.info("update_incomplete", *fieldsOf(section, message.after))
        applyFromPeer(message.section, section.merge(items))
        gap.offered(peer, asOf().toMutableList().also { it[message.section] = message.asOf })
        requestMissing()
    }

    /** A daemon without state has nothing that the source could have lost. */
    private fun recordEra(position: Long) {
        val latest = SourcePosition.eraOf(position)
        if (latest <= era) return
        era = latest
        if (sections.all { it.asOf == 0L }) return
        restores++
        restoringUntil = clock.now() + SourceFollower.RECONCILE_DELAY
        published.sourceRestored(latest)
    }

    private fun digestsMatch(ping: PeerMessage.Ping) {
        differsSince = null
        needsWhole = false
        if (ping.contactAgeMs >= 0) published.confirmed(ping.contactAgeMs.milliseconds)
        for ((section, asOf) in sections.zip(ping.asOf)) {
            if (section.asOf > 0) section.advance(section.asOf, emptyList(), asOf)
        }
        gap.closeIfFilled(asOf())
    }

    /** Peers that agree with this daemon may lack the same, so the gap stays open until all that was offered is here. */
    private fun requestMissing() {
        gap.closeIfFilled(asOf())
        if (!gap.isOpen) return
        gap.nextToAsk()?.send(if (needsWhole) wholeRequest() else PeerMessage.SectionRequest(asOf()))
    }

    private fun requestWhole(peer: StatePeer) {
        gap.asked()
        peer.send(wholeRequest())
    }

    private fun wholeRequest() = PeerMessage.SectionRequest(sections.map { 0L })

    private fun isSameRegion(peer: StatePeer): Boolean = peers.regionOf(peer) == peers.ownRegion

    private fun apply(changed: List<SourceItem>): List<SourceItem> {
        val effective = published.apply(changed)
        if (effective.isNotEmpty()) onChange()
        return effective
    }

    /** Applies what a peer has sent since it had an effect there or elsewhere; returns what had one here. */
    private fun applyFromPeer(index: Int, changed: List<SourceItem>): List<SourceItem> {
        sections[index].recordEffect(changed)
        return apply(changed)
    }

    /** Sends the [effective] changes, all since the last announcement, to the own region and to relays elsewhere. */
    private fun announce(index: Int, effective: List<SourceItem>) {
        if (effective.isEmpty()) return
        val section = sections[index]
        val message = PeerMessage.ItemUpdates(
            index,
            relayInRegion = false,
            effective.map { toUpdate(section, it) },
            after = announced[index],
            asOf = section.asOf,
            contactAgeMs = 0,
        )
        announced[index] = section.asOf
        sendToOwnRegion(message)
        val elsewhere = peers.sessions().filterNot(::isSameRegion)
        for (ofRegion in elsewhere.groupBy { peers.regionOf(it) }.values) {
            relaysAmong(ofRegion).forEach { it.send(message.copy(relayInRegion = true)) }
        }
    }

    /** Returns the peers last heard of, of different failure domains if there are any. */
    private fun relaysAmong(ofRegion: List<StatePeer>): List<StatePeer> {
        val latestFirst = ofRegion.sortedByDescending { it.lastReceivedAt }
        val ofDomains = latestFirst.distinctBy { it.failureDomain }
        return (ofDomains + (latestFirst - ofDomains.toSet())).take(RELAYS_PER_REGION)
    }

    private fun sendToOwnRegion(message: PeerMessage) =
        peers.sessions().filter(::isSameRegion).forEach { it.send(message) }

    private fun indexOf(prefix: String): Int = sections.indexOfFirst { it.prefix == prefix }

    private fun snapshotOf(index: Int, listing: SectionListing) = PeerMessage.SectionSnapshot(
        index,
        listing.asOf,
        listing.items.map { PeerMessage.Item(it.key, it.revision, it.value) },
        listing.base,
        listing.unchangedKeys.toList(),
    )

    /** Sends large items as deltas: most peers have the previous version, and the others request the section. */
    private fun toUpdate(section: PublishedSection, item: SourceItem): PeerMessage.Item {
        val base = section.replacedBy(item)
        val baseValue = base?.value
        val value = item.value
        if (baseValue == null || value == null) return PeerMessage.Item(item.key, item.revision, value)
        val delta = TextDelta.between(baseValue, value)
        val additions = delta.additions.map { String(it, Charsets.ISO_8859_1) }
        return PeerMessage.Item(
            item.key,
            item.revision,
            delta = PeerMessage.Delta(base.revision, delta.copies, additions),
        )
    }

    /** Returns null if this daemon lacks the item from which [item] differs. */
    private fun fromWire(section: PublishedSection, item: PeerMessage.Item): SourceItem? {
        val delta = item.delta ?: return SourceItem(item.key, item.revision, item.value)
        val base = section.item(item.key)?.takeIf { it.revision == delta.baseRevision } ?: return null
        val additions = delta.additions.map { it.toByteArray(Charsets.ISO_8859_1) }
        val value = base.value?.let { TextDelta(delta.copies, additions).applyTo(it) } ?: return null
        return SourceItem(item.key, item.revision, value)
    }

    private fun fieldsOf(section: PublishedSection, offered: Long): Array<Pair<String, Any?>> =
        arrayOf("section" to section.prefix, "held" to section.asOf, "offered" to offered)

    private companion object {
        /** Time after which daemons that differ request everything; updates reach a region in a fraction of it. */
        val FULL_REQUEST_DELAY = 500.milliseconds

        /** Daemons of each other region that get an update from its reader; two, since one may fail. */
        const val RELAYS_PER_REGION = 2
        val log = eventLog("state")
    }
}
