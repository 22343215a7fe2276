package kingcuptide.forwarder.connection

/** Counts the requests that the connections of a server have started. Used on the event loop. */
internal class PipelineCounts {
    var inTurn = 0L
        private set

    /** Requests that started before the responses of all requests before them were written. */
    var early = 0L
        private set

    fun started(isEarly: Boolean) {
        if (isEarly) early++ else inTurn++
    }
}
