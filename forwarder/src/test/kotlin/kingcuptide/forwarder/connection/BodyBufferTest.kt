package kingcuptide.forwarder.connection

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

/** Guards against bodies that lose or repeat bytes where a block of the buffer ends. */
internal class BodyBufferTest {
    @Test
    fun `Given a body in parts of any size, when it is whole, then it has all bytes in order`() {
        val random = Random(1)
        val body = random.nextBytes(300_000)
        val buffer = BodyBuffer()
        var appended = 0
        while (appended < body.size) {
            val count = minOf(body.size - appended, listOf(0, 1, 1_023, 1_024, 1_025, 65_536, 70_000).random(random))
            buffer.append(Unpooled.wrappedBuffer(body, appended, count))
            appended += count
            expectThat(buffer.size).isEqualTo(appended)
        }
        expectThat(buffer.toByteArray().contentEquals(body)).isTrue()
    }

    @Test
    fun `Given no bytes, when the body is taken, then it is empty`() {
        expectThat(BodyBuffer().toByteArray().size).isEqualTo(0)
    }
}
