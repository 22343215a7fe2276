package kingcuptide.forwarder.request

import kingcuptide.forwarder.connection.ConnectFailure
import kotlin.time.Duration

/** For gates whose target is not monitored. */
internal object NoTargetObserver : TargetObserver {
    override fun responded(startedAt: Duration) = Unit

    override fun suspect(reason: String) = Unit

    override fun unreachable(failure: ConnectFailure) = Unit
}
