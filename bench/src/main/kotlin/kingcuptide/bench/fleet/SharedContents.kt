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

/** Caches encoded, decoded and validated contents for all daemons of a fleet, so that each is processed once. */
class SharedContents : PayloadCodec {
    private val codec = deflatePayloadCodec()
    private val encodedWhole = LinkedHashMap<ResourceVersion, ByteArray>()
    private val encodedDeltas = LinkedHashMap<Pair<ResourceVersion, ResourceVersion>, ByteArray>()
    private val decodedWhole = IdentityHashMap<ByteArray, Result<ResourceContent, ResultCode>>()
    private val decodedDeltas = IdentityHashMap<ByteArray, Result<ResourceContent, ResultCode>>()
    private val validatedDocuments = HashMap<ResourceVersion, Result<Int, List<ResourceFault>>>()
    private val hostLists = HashMap<ResourceVersion, HostList>()

    /** Called before a document is validated, which happens again only if the cache was cleared in between. */
    var onValidated: (ResourceContent) -> Unit = { }

    override fun encodeWhole(content: ResourceContent): ByteArray =
        encodedWhole.clearedIfFull().getOrPut(content.version) { codec.encodeWhole(content) }

    override fun encodeDelta(delta: ResourceDelta): ByteArray =
        encodedDeltas.clearedIfFull().getOrPut(delta.base to delta.target) { codec.encodeDelta(delta) }

    override fun decodeWhole(bytes: ByteArray): Result<ResourceContent, ResultCode> =
        decodedWhole.clearedIfFull().getOrPut(bytes) { codec.decodeWhole(bytes) }

    override fun decodeDelta(base: ResourceContent, bytes: ByteArray): Result<ResourceContent, ResultCode> =
        decodedDeltas.clearedIfFull().getOrPut(bytes) { codec.decodeDelta(base, bytes) }

    /** Returns the cached result of validating a document version. */
    fun document(content: ResourceContent): Result<Int, List<ResourceFault>> =
        validatedDocuments.clearedIfFull().getOrPut(content.version) {
            onValidated(content)
            validateDocument(content)
        }

    /** Returns the cached host list of a version. */
    fun hostList(content: ResourceContent): Result<HostList, List<ResourceFault>> =
        Ok(hostLists.clearedIfFull().getOrPut(content.version) { readHostList(content) })

    private fun <K, V, M : MutableMap<K, V>> M.clearedIfFull(): M {
        if (size > MAX_CACHED_ENTRIES) clear()
        return this
    }

    private companion object {
        const val MAX_CACHED_ENTRIES = 64
    }
}
