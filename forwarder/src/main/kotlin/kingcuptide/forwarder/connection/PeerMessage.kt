package kingcuptide.forwarder.connection

import kingcuptide.coordination.connection.SuspectRecord
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/** What daemons say to each other. Keys are numbers on the wire, since most of these cross regions. */
sealed interface PeerMessage {
    /** The first message in each direction. */
    @Serializable
    data class Hello(
        @CborLabel(1) val protocol: Int,
        @CborLabel(2) val host: String,
        @CborLabel(3) val failureDomain: String,
        @CborLabel(4) val incarnation: Long,
    ) : PeerMessage

    /** A request for the target beside the receiver; its body follows the head. */
    @Serializable
    data class Forward(
        @CborLabel(1) val number: Long,
        @CborLabel(2) val requestId: String,
        @CborLabel(3) val method: String,
        @CborLabel(4) val target: String,
        @CborLabel(5) val headers: List<String>,
        @CborLabel(6) val remainingMs: Long,
        @CborLabel(7) val untilObjectiveMs: Long,
        @CborLabel(8) val objectiveMs: Long,
        @CborLabel(9) val route: String,
        @CborLabel(10) val priority: Int,
        @CborLabel(11) val idempotent: Boolean,
        @CborLabel(12) val targetId: String,
    ) : PeerMessage

    /** The caller has left, or the request was given up. */
    @Serializable
    data class Cancel(
        @CborLabel(1) val number: Long,
    ) : PeerMessage

    /** The target's whole answer; its body follows the head. */
    @Serializable
    data class Answer(
        @CborLabel(1) val number: Long,
        @CborLabel(2) val status: Int,
        @CborLabel(3) val headers: List<String>,
        @CborLabel(4) val ranMs: Long,
        @CborLabel(5) val loadReport: LoadReport,
    ) : PeerMessage

    /** The request did not run and will not. */
    @Serializable
    data class Refusal(
        @CborLabel(1) val number: Long,
        @CborLabel(2) val code: Int,
        @CborLabel(3) val retryAfterMs: Long,
        @CborLabel(4) val reachedTarget: Boolean,
        @CborLabel(5) val loadReport: LoadReport,
    ) : PeerMessage

    /** The request may have run, and no whole answer came. */
    @Serializable
    data class Loss(
        @CborLabel(1) val number: Long,
        @CborLabel(2) val code: Int,
        @CborLabel(3) val loadReport: LoadReport,
    ) : PeerMessage

    /** What a gate has in hand. */
    @Serializable
    data class LoadReport(
        @CborLabel(1) val inFlight: Int,
        @CborLabel(2) val queued: Int,
        @CborLabel(3) val limit: Int,
        @CborLabel(4) val waitMs: Long,
        @CborLabel(5) val cold: Boolean,
    )

    /**
     * Sent at a steady pace in both directions.
     *
     * @property readerRank how near the source the sender is, less is better
     * @property readerState the ordinal of its [kingcuptide.coordination.version.ReaderState]
     * @property contactAgeMs time since the sender knew the source's state to be what it holds; negative: never
     * @property digest equal to the receiver's own only if both believe the same
     */
    @Serializable
    data class Ping(
        @CborLabel(1) val asOf: List<Long>,
        @CborLabel(2) val contactAgeMs: Long,
        @CborLabel(3) val readerRank: Int,
        @CborLabel(4) val leaving: Boolean,
        @CborLabel(5) val loadReport: LoadReport,
        @CborLabel(6) val digest: Long,
        @CborLabel(7) val readerState: Int,
    ) : PeerMessage

    /** All items of a section as of a revision. */
    @Serializable
    data class Whole(
        @CborLabel(1) val section: Int,
        @CborLabel(2) val asOf: Long,
        @CborLabel(3) val items: List<Item>,
    ) : PeerMessage

    /** Items of a section that have just changed; [passOn] asks to tell the receiver's region. */
    @Serializable
    data class ItemUpdates(
        @CborLabel(1) val section: Int,
        @CborLabel(2) val passOn: Boolean,
        @CborLabel(3) val items: List<Item>,
    ) : PeerMessage

    /** An item of the source. Without [value] and [delta] it was removed. */
    @Serializable
    class Item(
        @CborLabel(1) val key: String,
        @CborLabel(2) val revision: Long,
        @CborLabel(3) @ByteString val value: ByteArray? = null,
        @CborLabel(4) val delta: Delta? = null,
    )

    /** What makes an item out of the one that it replaced, which had the revision [baseRevision]. */
    @Serializable
    class Delta(
        @CborLabel(1) val baseRevision: Long,
        @CborLabel(2) val copies: List<Int>,
        @CborLabel(3) val additions: List<String>,
    )

    /** What is held against requests that were in flight when a target died. */
    @Serializable
    data class Suspects(
        @CborLabel(1) val records: List<SuspectRecord>,
    ) : PeerMessage

    /** Asks for all that the receiver knows and the sender lacks. */
    @Serializable
    data class Ask(
        @CborLabel(1) val asOf: List<Long>,
    ) : PeerMessage
}

/** A message with the raw bytes that follow it. */
class PeerFrame(
    val message: PeerMessage,
    val body: ByteArray = NO_BYTES,
)
