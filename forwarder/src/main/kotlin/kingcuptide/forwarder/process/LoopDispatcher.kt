package kingcuptide.forwarder.process

import io.netty.util.concurrent.EventExecutor
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import java.util.concurrent.TimeUnit
import kotlin.coroutines.CoroutineContext

/** Runs coroutines on the event loop of the sockets, so that calls need no thread switch. */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class LoopDispatcher(
    private val loop: EventExecutor,
) : CoroutineDispatcher(),
    Delay {
    override fun isDispatchNeeded(context: CoroutineContext): Boolean = !loop.inEventLoop()

    override fun dispatch(context: CoroutineContext, block: Runnable) = loop.execute(block)

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = loop.schedule({ continuation.resumeUndispatched() }, timeMillis, TimeUnit.MILLISECONDS)
        continuation.invokeOnCancellation { timer.cancel(false) }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
        val timer = loop.schedule(block, timeMillis, TimeUnit.MILLISECONDS)
        return DisposableHandle { timer.cancel(false) }
    }

    private fun CancellableContinuation<Unit>.resumeUndispatched() {
        with(this@LoopDispatcher) { resumeUndispatched(Unit) }
    }
}
