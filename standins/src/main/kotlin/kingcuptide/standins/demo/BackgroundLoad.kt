package kingcuptide.standins.demo

import kingcuptide.coordination.process.HostEntry
import kingcuptide.standins.fleet.LocalFleet
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

/** Sends idempotent requests through every entry, a thread for each, with a pause of 10 ms; collects the failures. */
class BackgroundLoad(
    private val fleet: LocalFleet,
    entries: List<HostEntry>,
    private val path: String,
) : AutoCloseable {
    private val running = AtomicBoolean(true)
    private val sent = AtomicLong()
    private val failures = CopyOnWriteArrayList<String>()
    private val callers = entries.map { entry -> thread(name = "load-${entry.host}") { call(entry) } }

    val sentCount: Long get() = sent.get()
    val failed: List<String> get() = failures.toList()

    override fun close() {
        running.set(false)
        callers.forEach { it.join() }
    }

    private fun call(entry: HostEntry) {
        while (running.get()) {
            val failure = runCatching {
                fleet.get(fleet.entryUrl(entry, path))
            }.fold({ failureText(it.statusCode(), it.body()) }, { it.toString() })
            sent.incrementAndGet()
            if (failure != null && failures.size < MAX_COLLECTED_FAILURES) failures += "${entry.host}: $failure"
            LockSupport.parkNanos(PAUSE_BETWEEN_REQUESTS_NS)
        }
    }

    private fun failureText(status: Int, body: String): String? = if (status == OK) null else "$status ${body.trim()}"

    private companion object {
        const val OK = 200
        const val MAX_COLLECTED_FAILURES = 1_000
        const val PAUSE_BETWEEN_REQUESTS_NS = 10_000_000L
    }
}
