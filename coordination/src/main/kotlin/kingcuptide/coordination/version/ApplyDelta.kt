package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.ResultCode

/**
 * Applies [delta] to a copy of this content.
 *
 * The result is returned only if its digest is the one that the delta names; otherwise nothing changes and the code
 * says why.
 */
public fun ResourceContent.apply(delta: ResourceDelta): Result<ResourceContent, ResultCode> {
    if (delta.kind != kind || delta.base != version) return Err(ResultCode.DELTA_BASE_UNKNOWN)
    val patched = ResourceContent.of(kind, delta.target.number, entries - delta.removed + delta.put)
    if (patched.version != delta.target) return Err(ResultCode.DELTA_DIGEST_MISMATCH)
    return Ok(patched)
}
