package kingcuptide.coordination.request

import kingcuptide.coordination.process.RouteId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

/** Guards against harmless requests that stand for one that crashes targets, since what tells them apart is left out. */
internal class FingerprintInputTest {
    private fun request(body: ByteArray, caller: String = "a", path: String = "/p") =
        FingerprintInput(RouteId("r"), "POST", path, body, caller)

    private val longBody = ByteArray(4_000) { it.toByte() }

    @Test
    fun `Given long bodies, when they differ behind their first bytes or in length, then so do their fingerprints`() {
        val other = longBody.clone().apply { this[3_999]++ }
        for (body in listOf(other, longBody.copyOf(3_999), longBody.copyOf(MAX_FINGERPRINT_BODY_BYTES))) {
            expectThat(request(body).fingerprint).isNotEqualTo(request(longBody).fingerprint)
            expectThat(request(body)).isNotEqualTo(request(longBody))
        }
        expectThat(request(longBody.clone())).isEqualTo(request(longBody))
        expectThat(request(longBody.clone()).fingerprint).isEqualTo(request(longBody).fingerprint)
    }

    @Test
    fun `Given two callers, when their requests are equal, then only the fingerprints are equal`() {
        expectThat(request(longBody, "b").fingerprint).isEqualTo(request(longBody, "a").fingerprint)
        expectThat(request(longBody, "b")).isNotEqualTo(request(longBody, "a"))
    }

    /** Daemons of an earlier build send fingerprints of such requests. */
    @Test
    fun `Given a short body, when it is hashed, then the fingerprint is that of its bytes alone`() {
        val body = ByteArray(MAX_FINGERPRINT_BODY_BYTES)
        expectThat(request(body).fingerprint).isEqualTo(fingerprintOf(RouteId("r"), "POST", "/p", body))
    }
}
