package kingcuptide.bench.processes

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random

/** What a load came to; times run from when a request was due, so that a slow answer delays no measurement. */
internal data class LoadResult(
    val latencyUs: Histogram,
    val sent: Long,
    val failed: Long,
)

/** Sends requests at random times with the mean rate [perSecond], whatever the answers do. */
internal class OpenLoopLoad(
    private val perSecond: Int,
    private val random: Random,
) {
    private val client =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build()

    fun run(url: String, count: Int): LoadResult {
        val histogram = ConcurrentHistogram(MAX_LATENCY_US, DIGITS)
        val failed = AtomicLong()
        val open = CountDownLatch(count)
        var due = System.nanoTime()
        repeat(count) {
            due += (-Math.log(1 - random.nextDouble()) * NS_PER_SECOND / perSecond).toLong()
            while (System.nanoTime() < due) LockSupport.parkNanos(due - System.nanoTime())
            send(url, due, histogram, failed, open)
        }
        open.await()
        return LoadResult(histogram, count.toLong(), failed.get())
    }

    private fun send(url: String, due: Long, histogram: Histogram, failed: AtomicLong, open: CountDownLatch) {
        val request = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(10)).build()
        client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).whenComplete { response, failure ->
            if (failure != null || response.statusCode() != OK) failed.incrementAndGet()
            histogram.recordValue(((System.nanoTime() - due) / NS_PER_US).coerceIn(1, MAX_LATENCY_US))
            open.countDown()
        }
    }

    private companion object {
        const val NS_PER_SECOND = 1_000_000_000.0
        const val NS_PER_US = 1_000
        const val MAX_LATENCY_US = 60_000_000L
        const val DIGITS = 3
        const val OK = 200
    }
}
