package kingcuptide.forwarder.request

import kingcuptide.forwarder.connection.first
import kingcuptide.forwarder.request.StutteringTarget.Answer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/** Guards against an answer of another request, of another run of the same request, or of parts of two. */
internal class StutteringTargetTest {
    private val seeds = 1..(System.getProperty("kingcuptide.seeds")?.toInt() ?: SEEDS)

    @Test
    fun `Given a target that answers twice, when requests come again, then each gets its own answer or none`() {
        val mixed = seeds.flatMap { seed ->
            StutteringTarget(seed).use { target ->
                SocketGate(target.address, SLOTS).use { gate -> play(target, gate, seed) }
            }
        }
        expectThat(mixed).isEmpty()
    }

    /** Returns what requests got that the target has not answered to them. */
    private fun play(target: StutteringTarget, gate: SocketGate, seed: Int): List<String> {
        val random = Random(seed)
        val mixed = ArrayList<String>()
        var answered = 0
        repeat(ROUNDS) {
            val ids = (1..IDS).shuffled(random).take(SLOTS * 2).map { "$it" }
            val method = if (random.nextInt(5) == 0) "HEAD" else "GET"
            val runsBefore = ids.associateWith { target.answers[it]?.size ?: 0 }
            for ((id, result) in ids zip gate.submit(*ids.toTypedArray(), method = method)) {
                if (result !is ForwardResult.Answered) continue
                answered++
                val own = target.answers[id].orEmpty().drop(runsBefore.getValue(id))
                    .map { if (method == "HEAD") it.copy(body = "") else it }
                val response = result.response
                val proof = response.headers.first("Proof").orEmpty()
                val got = Answer(response.status, response.body.toString(Charsets.ISO_8859_1), proof)
                if (got !in own) mixed += "seed $seed, $method $id: got $got, answered $own"
            }
        }
        expectThat(answered).describedAs("answers of seed $seed").isGreaterThan(ROUNDS * SLOTS / 2)
        return mixed
    }

    private companion object {
        const val SEEDS = 10
        const val SLOTS = 3
        const val IDS = 40
        const val ROUNDS = 20
    }
}
