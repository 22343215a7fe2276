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

/** Result of a load. Latency counts from the time a request was due, so that a slow response hides no wait. */
internal data class LoadResult(
    val latencyUs: Histogram,
    val sent: Long,
    val failed: Long,
)

/** Sends requests as a Poisson process of rate [perSecond], independent of the responses. */
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

    /** Sends [count] GET requests to [url] and waits for all responses or failures. */
    fun run(url: String, count: Int): LoadResult {
        val histogram = ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        val failed = AtomicLong()
        val pending = CountDownLatch(count)
        var dueNs = System.nanoTime()
        repeat(count) {
            dueNs += (-Math.log(1 - random.nextDouble()) * NS_PER_SECOND / perSecond).toLong()
            while (System.nanoTime() < dueNs) LockSupport.parkNanos(dueNs - System.nanoTime())
            send(url, dueNs, histogram, failed, pending)
        }
        pending.await()
        return LoadResult(histogram, count.toLong(), failed.get())
    }

    private fun send(url: String, dueNs: Long, histogram: Histogram, failed: AtomicLong, pending: CountDownLatch) {
        val request = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(10)).build()
        client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).whenComplete { response, failure ->
            if (failure != null || response.statusCode() != STATUS_OK) failed.incrementAndGet()
            histogram.recordValue(((System.nanoTime() - dueNs) / NS_PER_US).coerceIn(1, MAX_LATENCY_US))
            pending.countDown()
        }
    }

    private companion object {
        const val NS_PER_SECOND = 1_000_000_000.0
        const val NS_PER_US = 1_000
        const val MAX_LATENCY_US = 60_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val STATUS_OK = 200
    }
}
