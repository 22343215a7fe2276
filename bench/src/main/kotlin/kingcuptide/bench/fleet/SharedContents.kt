package kingcuptide.bench.fleet

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.HostList
import kingcuptide.coordination.process.ResultCode
import kingcuptide.coordination.version.PayloadCodec
import kingcuptide.coordination.version.ResourceContent
import kingcuptide.coordination.version.ResourceDelta
import kingcuptide.coordination.version.ResourceFault
import kingcuptide.coordination.version.ResourceVersion
import kingcuptide.coordination.version.deflatePayloadCodec
import java.util.IdentityHashMap

/** Lets hundreds of instances in one process share equal contents, so that each is encoded and read once. */
class SharedContents : PayloadCodec {
    private val codec = deflatePayloadCodec()
    private val whole = LinkedHashMap<ResourceVersion, ByteArray>()
    private val deltas = LinkedHashMap<Pair<ResourceVersion, ResourceVersion>, ByteArray>()
    private val decodedWhole = IdentityHashMap<ByteArray, Result<ResourceContent, ResultCode>>()
    private val decodedDeltas = IdentityHashMap<ByteArray, Result<ResourceContent, ResultCode>>()
    private val documents = HashMap<ResourceVersion, Result<Int, List<ResourceFault>>>()
    private val hostLists = HashMap<ResourceVersion, HostList>()

    /** Called when a document is validated for the first time. */
    var onValidated: (ResourceContent) -> Unit = { }

    override fun encodeWhole(content: ResourceContent): ByteArray =
        whole.bounded().getOrPut(content.version) { codec.encodeWhole(content) }

    override fun encodeDelta(delta: ResourceDelta): ByteArray =
        deltas.bounded().getOrPut(delta.base to delta.target) { codec.encodeDelta(delta) }

    override fun decodeWhole(bytes: ByteArray): Result<ResourceContent, ResultCode> =
        decodedWhole.bounded().getOrPut(bytes) { codec.decodeWhole(bytes) }

    override fun decodeDelta(base: ResourceContent, bytes: ByteArray): Result<ResourceContent, ResultCode> =
        decodedDeltas.bounded().getOrPut(bytes) { codec.decodeDelta(base, bytes) }

    /** Validates a document, once for each version. */
    fun document(content: ResourceContent): Result<Int, List<ResourceFault>> =
        documents.bounded().getOrPut(content.version) {
            onValidated(content)
            validateDocument(content)
        }

    /** Reads a host list, once for each version. */
    fun hostList(content: ResourceContent): Result<HostList, List<ResourceFault>> =
        Ok(hostLists.bounded().getOrPut(content.version) { readHostList(content) })

    private fun <K, V, M : MutableMap<K, V>> M.bounded(): M {
        if (size > MAX_SHARED) clear()
        return this
    }

    private companion object {
        const val MAX_SHARED = 64
    }
}
