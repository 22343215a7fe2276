package kingcuptide.forwarder.connection

/** Receives what a connection to an HTTP server does not pass to any call. Called on its event loop. */
fun interface ExchangeObserver {
    fun skipped(response: SkippedResponse)

    companion object {
        /** Ignores everything. */
        val NONE = ExchangeObserver { }
    }
}
