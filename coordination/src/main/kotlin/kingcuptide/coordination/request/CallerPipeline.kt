package kingcuptide.coordination.request

/**
 * Decides for one connection of a caller which of its pipelined requests may start, which response is written next, when
 * reading stops and which response closes the connection. It does no I/O. Use from one thread.
 *
 * A caller sends the requests behind a closing response again, whatever their kind, so none of these may run. Hence
 * requests start in the order of their arrival, and only the response of the last started one closes. A non-idempotent
 * request starts only when all responses before it are written.
 *
 * @param R type of the responses
 */
public class CallerPipeline<R : Any>(private val limits: PipelineLimits = PipelineLimits()) {
    /** Requests whose responses are not written, by arrival. The first [startedCount] of them are started. */
    private val entries = ArrayDeque<Entry<R>>()
    private var startedCount = 0
    private var arrivedCount = 0L
    private var requestBytes = 0L
    private var isStopping = false
    private var startsNoMore = false

    /** Whether further requests of the connection are read; if not, what arrives behind is discarded. */
    public var acceptsMore: Boolean = true
        private set

    /** Bytes of the responses that are ready and not written. */
    public var heldBytes: Long = 0L
        private set

    /** Whether no request waits for its response. */
    public val isEmpty: Boolean get() = entries.isEmpty()

    /** Number of started requests that have no response yet. */
    public val runningCount: Int get() = (0 until startedCount).count { entries[it].response == null }

    /** Returns whether the next request, of which there would then be [bytes], may be read on. */
    public fun mayRead(bytes: Long): Boolean {
        if (!acceptsMore || entries.isEmpty()) return acceptsMore
        return entries.size < limits.maxRequests && requestBytes + bytes <= limits.maxRequestBytes
    }

    /**
     * Adds a request that has arrived, and returns its id. Nothing is read behind one that [asksClose].
     *
     * @param refusal the response to a request that is refused without running
     */
    public fun arrived(bytes: Long, asksClose: Boolean, refusal: SizedResponse<R>? = null): Long {
        check(acceptsMore) { "request behind the last one" }
        val id = arrivedCount++
        entries.addLast(Entry(id, bytes, asksClose, refusal))
        requestBytes += bytes
        if (asksClose) acceptsMore = false
        return id
    }

    /** Returns whether [startNext] would start or answer a request. */
    public fun canStartNext(isIdempotent: (Long) -> Boolean): Boolean {
        val entry = entries.getOrNull(startedCount) ?: return false
        return !startsNoMore && mayStart(entry, isIdempotent)
    }

    /** Marks the next request that may start now as started, and returns it, or null if there is none. */
    public fun startNext(isIdempotent: (Long) -> Boolean): PipelineStart? {
        while (true) {
            val entry = entries.getOrNull(startedCount)
            if (entry == null || startsNoMore || !mayStart(entry, isIdempotent)) return null
            startedCount++
            if (entry.asksClose) startsNoMore = true
            val refusal = entry.response ?: return PipelineStart(entry.id, isEarly = startedCount > 1)
            hold(entry, refusal)
        }
    }

    private fun mayStart(entry: Entry<R>, isIdempotent: (Long) -> Boolean): Boolean {
        if (startedCount == 0) return true
        if (isStopping || heldBytes >= limits.maxHeldBytes) return false
        return entry.response != null || isIdempotent(entry.id)
    }

    /**
     * Records the response to a started request. Returns false if it has one already or is unknown.
     *
     * @param asksClose whether the connection should close after the requests that are started
     */
    public fun finished(id: Long, response: SizedResponse<R>, asksClose: Boolean = false): Boolean {
        val first = entries.firstOrNull() ?: return false
        val index = id - first.id
        if (index < 0 || index >= startedCount) return false
        val entry = entries[index.toInt()]
        if (entry.response != null) return false
        entry.response = response
        hold(entry, response)
        if (asksClose) closeAfterStarted()
        return true
    }

    private fun hold(entry: Entry<R>, response: SizedResponse<R>) {
        heldBytes += response.bytes
        requestBytes -= entry.bytes
    }

    /**
     * Removes the response that is to be written now and returns it, or null if there is none.
     *
     * @param isMoreArriving whether a part of a further request has arrived, which a stopping daemon still answers
     */
    public fun writeNext(isMoreArriving: Boolean): PipelineWrite<R>? {
        if (startedCount == 0) return null
        val entry = entries.first()
        val response = entry.response ?: return null
        entries.removeFirst()
        startedCount--
        heldBytes -= response.bytes
        val endsStop = isStopping && entries.isEmpty() && !isMoreArriving
        val closes = startedCount == 0 && (startsNoMore || endsStop)
        if (closes) cancel()
        return PipelineWrite(entry.id, response.response, closes)
    }

    /** The daemon stops: requests start one after the other, and the last response closes the connection. */
    public fun stop() {
        isStopping = true
    }

    /**
     * The time of the stop is over: requests that run get [lost], and those that wait get the response of [refuse] and
     * never start. Returns the ids of both.
     */
    public fun end(lost: SizedResponse<R>, refuse: (Long) -> SizedResponse<R>): List<Long> {
        stop()
        val waiting = entries.drop(startedCount).filter { it.response == null }
        waiting.forEach { it.response = refuse(it.id) }
        return runningIds().onEach { finished(it, lost) } + waiting.map { it.id }
    }

    /** The connection is closed: returns the ids of the requests that run. No request starts any more. */
    public fun cancel(): List<Long> {
        val running = runningIds()
        closeAfterStarted()
        entries.clear()
        startedCount = 0
        heldBytes = 0
        requestBytes = 0
        return running
    }

    private fun closeAfterStarted() {
        startsNoMore = true
        acceptsMore = false
    }

    private fun runningIds(): List<Long> = entries.take(startedCount).filter { it.response == null }.map { it.id }

    private class Entry<R>(
        val id: Long,
        val bytes: Long,
        val asksClose: Boolean,
        var response: SizedResponse<R>?,
    )
}

/** A response of [bytes]. */
public class SizedResponse<out R>(
    public val response: R,
    public val bytes: Long,
)

/** A request that starts; [isEarly]: before the responses of all requests before it are written. */
public data class PipelineStart(
    val id: Long,
    val isEarly: Boolean,
)

/** A response to write; [closes]: it is the last one of the connection. */
public class PipelineWrite<out R>(
    public val id: Long,
    public val response: R,
    public val closes: Boolean,
)
