package kingcuptide.forwarder.connection

import kingcuptide.coordination.connection.CrashRecord
import kingcuptide.coordination.connection.SuspectRecord
import kingcuptide.coordination.request.quota.QuotaPeer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/** A message between daemons. Field keys are numbers on the wire, to save bytes: most messages cross regions. */
sealed interface PeerMessage {
    /**
     * The first message in each direction.
     *
     * @property cpuShare processor time that the sender may use, in thousandths of a core; a whole one if it does not say
     * @property ip address of the sender if it receives requests on connections that it has opened, too; null in earlier
     * builds
     */
    @Serializable
    data class Hello(
        @CborLabel(1) val protocol: Int,
        @CborLabel(2) val host: String,
        @CborLabel(3) val failureDomain: String,
        @CborLabel(4) val incarnation: Long,
        @CborLabel(5) val cpuShare: Int = QuotaPeer.WHOLE_CORE,
        @CborLabel(6) val ip: String? = null,
    ) : PeerMessage

    /**
     * A request for the target beside the receiver; the request body follows the head.
     *
     * @property ratePerSecond the rate that the sender knows the target to have named, if any
     * @property runTimes run times that the receiver reported before it lost them, as in [LoadReport]
     */
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
        @CborLabel(10) @SerialName("rank") val priority: Int,
        @CborLabel(11) @SerialName("repeatable") val idempotent: Boolean,
        @CborLabel(12) val targetId: String,
        @CborLabel(13) val workspace: String? = null,
        @CborLabel(14) val ratePerSecond: Double? = null,
        @CborLabel(15) val runTimes: List<Int> = emptyList(),
    ) : PeerMessage

    /** Cancels a request: its caller has left, or the entry gave it up. */
    @Serializable
    data class Cancel(
        @CborLabel(1) val number: Long,
    ) : PeerMessage

    /**
     * The complete response of the target; the response body follows the head.
     *
     * @property calls pairs of service key and number of calls that the run has made; null if the sender does not know
     */
    @Serializable
    data class Response(
        @CborLabel(1) val number: Long,
        @CborLabel(2) val status: Int,
        @CborLabel(3) val headers: List<String>,
        @CborLabel(4) val ranMs: Long,
        @CborLabel(5) @SerialName("burden") val loadReport: LoadReport,
        @CborLabel(6) val calls: List<Int>? = null,
    ) : PeerMessage

    /** The request did not run and will not. */
    @Serializable
    data class Refusal(
        @CborLabel(1) val number: Long,
        @CborLabel(2) val code: Int,
        @CborLabel(3) val retryAfterMs: Long,
        @CborLabel(4) val reachedTarget: Boolean,
        @CborLabel(5) @SerialName("burden") val loadReport: LoadReport,
    ) : PeerMessage

    /** The request may have run, but the gate has no complete response. */
    @Serializable
    data class OutcomeUnknown(
        @CborLabel(1) val number: Long,
        @CborLabel(2) val code: Int,
        @CborLabel(3) @SerialName("burden") val loadReport: LoadReport,
    ) : PeerMessage

    /** The target is silent, and the request still runs there; its reply follows. Earlier builds ignore this. */
    @Serializable
    data class TargetSilent(
        @CborLabel(1) val number: Long,
        @CborLabel(2) val loadReport: LoadReport,
    ) : PeerMessage

    /**
     * The load of a gate. [waitMs] is the expected queue time of a new request, [ratePerSecond] the rate that the target
     * has named, if any, and [leavingTarget] the id of the target if it has said that it leaves, with the start of the
     * instance that has said so, 0 if unknown.
     * [runTimes] has pairs of route key and run time in tenths of a millisecond, [demand] groups of key, mean, trend and
     * variance in thousandths of a slot. A daemon that sends neither has told nothing of them, unless [isBrief]: then what
     * it told before still holds.
     */
    @Serializable
    data class LoadReport(
        @CborLabel(1) val inFlight: Int,
        @CborLabel(2) val queued: Int,
        @CborLabel(3) val limit: Int,
        @CborLabel(4) val waitMs: Long,
        @CborLabel(5) val cold: Boolean,
        @CborLabel(6) val ratePerSecond: Double? = null,
        @CborLabel(7) val leavingTarget: String? = null,
        @CborLabel(8) val leavingStartedAtUnixMs: Long = 0,
        @CborLabel(9) val runTimes: List<Int> = emptyList(),
        @CborLabel(11) val demand: List<Int> = emptyList(),
        @CborLabel(12) val isBrief: Boolean = false,
    ) {
        /** Returns this report without what changes slowly and takes most of its bytes. */
        fun brief(): LoadReport = copy(runTimes = emptyList(), demand = emptyList(), isBrief = true)
    }

    /**
     * Sent at regular intervals in both directions.
     *
     * @property readerRank nearness of the sender to the source by connect time, lower is nearer
     * @property readerState the ordinal of its [kingcuptide.coordination.version.ReaderState]
     * @property contactAgeMs time since the sender's state was last confirmed equal to the source's; negative if never
     * @property digest digest of the published state; equal digests mean equal state
     * @property targetInUse id of the target beside the sender if the sender knows that it is in use
     */
    @Serializable
    data class Ping(
        @CborLabel(1) val asOf: List<Long>,
        @CborLabel(2) val contactAgeMs: Long,
        @CborLabel(3) val readerRank: Int,
        @CborLabel(4) val leaving: Boolean,
        @CborLabel(5) @SerialName("burden") val loadReport: LoadReport,
        @CborLabel(6) val digest: Long,
        @CborLabel(7) val readerState: Int,
        @CborLabel(8) val targetInUse: String? = null,
    ) : PeerMessage

    /**
     * All items of a section as of a revision; see [kingcuptide.coordination.version.SectionListing].
     *
     * @property base revision up to which the receiver must be complete, since unchanged items are listed by key only
     */
    @Serializable
    data class SectionSnapshot(
        @CborLabel(1) val section: Int,
        @CborLabel(2) val asOf: Long,
        @CborLabel(3) val items: List<Item>,
        @CborLabel(4) val base: Long = 0,
        @CborLabel(5) val unchangedKeys: List<String> = emptyList(),
    ) : PeerMessage

    /**
     * The changes of a section that have an effect, after revision [after] up to [asOf]; with [relayInRegion] the
     * receiver relays them to its own region.
     *
     * @property contactAgeMs time since the sender's state was last confirmed equal to the source's
     */
    @Serializable
    data class ItemUpdates(
        @CborLabel(1) val section: Int,
        @CborLabel(2) @SerialName("passOn") val relayInRegion: Boolean,
        @CborLabel(3) val items: List<Item>,
        @CborLabel(4) val after: Long,
        @CborLabel(5) val asOf: Long,
        @CborLabel(6) val contactAgeMs: Long,
    ) : PeerMessage

    /** An item of the source; one with neither [value] nor [delta] was removed. */
    @Serializable
    class Item(
        @CborLabel(1) val key: String,
        @CborLabel(2) val revision: Long,
        @CborLabel(3) @ByteString val value: ByteArray? = null,
        @CborLabel(4) val delta: Delta? = null,
    )

    /** Difference of an item from the one that it replaced, which had the revision [baseRevision]. */
    @Serializable
    class Delta(
        @CborLabel(1) val baseRevision: Long,
        @CborLabel(2) val copies: List<Int>,
        @CborLabel(3) val additions: List<String>,
    )

    /**
     * Records of requests that were in flight when a target crashed.
     *
     * @property records the same for daemons of an earlier build, which know no [crashRecords]
     */
    @Serializable
    data class Suspects(
        @CborLabel(1) val records: List<SuspectRecord>,
        @CborLabel(2) val crashRecords: List<CrashRecord> = emptyList(),
    ) : PeerMessage

    /** Requests the sections in which the receiver is ahead of the sender's [asOf]; 0 requests a whole section. */
    @Serializable
    data class SectionRequest(
        @CborLabel(1) val asOf: List<Long>,
    ) : PeerMessage

    /** See [kingcuptide.coordination.request.quota.QuotaMessage.Ask]. */
    @Serializable
    data class QuotaAsk(
        @CborLabel(1) val number: Int,
        @CborLabel(2) val stamp: Int = 0,
        @CborLabel(3) val weight: Int = 0,
        @CborLabel(4) val isDomainLender: Boolean = false,
        @CborLabel(5) val isUrgent: Boolean = false,
        @CborLabel(6) val keys: List<Int> = emptyList(),
        @CborLabel(7) val wanted: List<Int> = emptyList(),
        @CborLabel(8) val returned: List<Int> = emptyList(),
    ) : PeerMessage

    /** See [kingcuptide.coordination.request.quota.QuotaMessage.Grant]. */
    @Serializable
    data class QuotaGrant(
        @CborLabel(1) val number: Int,
        @CborLabel(2) val stamp: Int = 0,
        @CborLabel(3) val granted: List<Int> = emptyList(),
        @CborLabel(4) val roomInMs: List<Int> = emptyList(),
    ) : PeerMessage
}

/** A message with the raw bytes that follow it. */
class PeerFrame(
    val message: PeerMessage,
    val body: ByteArray = NO_BYTES,
)
