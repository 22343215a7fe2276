package kingcuptide.daemon.request

import com.github.michaelbull.result.getOrElse
import kingcuptide.coordination.connection.Header
import kingcuptide.coordination.connection.RequestHead
import kingcuptide.coordination.process.Clock
import kingcuptide.coordination.process.RegionId
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.request.Admission
import kingcuptide.coordination.request.AdmissionGate
import kingcuptide.coordination.request.AdmissionRequest
import kingcuptide.coordination.request.AdmissionTicket
import kingcuptide.coordination.request.HomeRegionCheck
import kingcuptide.coordination.request.HomeRegions
import kingcuptide.coordination.request.Outcome
import kingcuptide.coordination.request.TargetResult
import kingcuptide.coordination.request.checkHomeRegion
import kingcuptide.coordination.request.fingerprintOf
import kingcuptide.coordination.request.homeRegionsOf
import kingcuptide.coordination.version.Snapshot
import kingcuptide.daemon.connection.GateExchange
import kingcuptide.forwarder.process.DaemonMetrics
import kingcuptide.forwarder.process.Side
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.produce
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration

/** Admits requests to the target of this host, forwards them, and streams the responses back. */
class GateHandler(
    private val region: RegionId,
    private val gate: AdmissionGate,
    private val target: TargetClient,
    private val keys: KeyGuard,
    private val snapshot: () -> Snapshot?,
    private val clock: Clock,
    private val metrics: DaemonMetrics,
) {
    /** Handles one request until its response is complete or it is refused. */
    suspend fun handle(exchange: GateExchange) {
        val document = snapshot()?.document ?: return refuse(exchange, ResultCode.NO_CONFIGURATION)
        val route = document.routes[exchange.head.route] ?: return refuse(exchange, ResultCode.VERSION_BEHIND)
        val home = homeRegionsOf(route, exchange.head.workspace, document)
        if (checkHomeRegion(region, home) != HomeRegionCheck.Allowed) return refuse(exchange, ResultCode.WRONG_REGION)
        val body = exchange.body?.let { PeekedBody(it, exchange) }
        val fingerprint = fingerprintOf(exchange.head, body?.firstChunk() ?: ByteArray(0), home)
        val request =
            AdmissionRequest(
                exchange.head.route,
                home,
                exchange.deadline - clock.now(),
                fingerprint,
                exchange.head.suspect,
            )
        when (val admission = admit(request)) {
            is Admission.Admitted -> runAdmitted(exchange, home, admission.ticket, body)
            is Admission.Refused -> refuse(exchange, admission.code, admission.retryAfter)
            is Admission.Queued -> error("queued request resumed without an admission decision")
        }
    }

    private suspend fun admit(request: AdmissionRequest): Admission {
        val decided = CompletableDeferred<Admission>()
        val admission = gate.tryAdmit(request) { decided.complete(it) }
        if (admission !is Admission.Queued) return admission
        return try {
            decided.await()
        } catch (exception: kotlinx.coroutines.CancellationException) {
            if (!admission.entry.cancel()) returnTicket(decided)
            throw exception
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun returnTicket(decided: CompletableDeferred<Admission>) {
        decided.invokeOnCompletion {
            val admission = decided.getCompleted()
            if (admission is Admission.Admitted) admission.ticket.finish(TargetResult.Cancelled)
        }
    }

    private suspend fun runAdmitted(
        exchange: GateExchange,
        home: HomeRegions,
        ticket: AdmissionTicket,
        body: PeekedBody?,
    ) {
        var result: TargetResult = TargetResult.Cancelled
        try {
            result = keys.guard(exchange.head, home, exchange.deadline) { runAtTarget(exchange, body) }
                .getOrElse { refusal ->
                    refuse(exchange, refusal.code, refusal.retryAfter)
                    TargetRun(TargetResult.Cancelled, mayHaveRun = false)
                }.result
        } finally {
            val timedOut = result == TargetResult.Cancelled && clock.now() >= exchange.deadline
            ticket.finish(if (timedOut) TargetResult.TimedOut else result)
        }
    }

    private suspend fun runAtTarget(exchange: GateExchange, body: PeekedBody?): TargetRun {
        exchange.beginForward().getOrElse {
            refuse(exchange, it)
            return TargetRun(TargetResult.Cancelled, mayHaveRun = false)
        }
        val sink = ExchangeSink(exchange)
        val failure =
            coroutineScope {
                target.run(exchange.head, body?.chunks(this), exchange.deadline - clock.now(), sink)
            }
        if (failure == null) return TargetRun(TargetResult.Answered(sink.status), mayHaveRun = true)
        if (failure.outcome == Outcome.NOT_RUN) exchange.forwardUnsent()
        refuse(exchange, failure.code)
        val result = if (failure.code ==
            ResultCode.TARGET_DOWN
        ) {
            TargetResult.ConnectRefused
        } else {
            TargetResult.ConnectionLost
        }
        return TargetRun(result, mayHaveRun = failure.outcome != Outcome.NOT_RUN)
    }

    private fun refuse(exchange: GateExchange, code: ResultCode, retryAfter: Duration = Duration.ZERO) {
        metrics.refused(Side.GATE, code)
        exchange.refuse(code, retryAfter)
    }
}

private fun fingerprintOf(head: RequestHead, bodyPrefix: ByteArray, home: HomeRegions) =
    fingerprintOf(head.route, head.method, head.pathAndQuery, bodyPrefix, home)

/** A request body whose first chunk can be read ahead, for the fingerprint. */
private class PeekedBody(
    private val input: ReceiveChannel<ByteArray>,
    private val exchange: GateExchange,
) {
    private var firstChunk: ByteArray? = null

    suspend fun firstChunk(): ByteArray? = input.receiveCatching().getOrNull().also { firstChunk = it }

    @OptIn(ExperimentalCoroutinesApi::class)
    fun chunks(scope: CoroutineScope): ReceiveChannel<ByteArray> =
        scope.produce {
            firstChunk?.let { forward(it) }
            for (chunk in input) forward(chunk)
        }

    private suspend fun kotlinx.coroutines.channels.ProducerScope<ByteArray>.forward(chunk: ByteArray) {
        send(chunk)
        exchange.consumed(chunk.size)
    }
}

private class ExchangeSink(
    private val exchange: GateExchange,
) : ResponseSink {
    var status = 0
        private set

    override suspend fun head(status: Int, headers: List<Header>) {
        this.status = status
        exchange.beginResponse(status, headers)
    }

    override suspend fun body(bytes: ByteArray) {
        if (!exchange.sendResponseChunk(bytes)) {
            throw kotlinx.coroutines.CancellationException("the entry no longer waits for the response")
        }
    }

    override suspend fun end() = exchange.endResponse()
}
