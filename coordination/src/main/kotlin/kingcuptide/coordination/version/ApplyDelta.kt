package kingcuptide.coordination.version

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kingcuptide.coordination.process.ResultCode

/**
 * Applies [delta] to a copy of this content.
 *
 * Returns [ResultCode.DELTA_BASE_UNKNOWN] if the delta starts from another version, and
 * [ResultCode.DELTA_DIGEST_MISMATCH] if the result does not have the digest that the delta names.
 */
public fun ResourceContent.apply(delta: ResourceDelta): Result<ResourceContent, ResultCode> {
    if (delta.kind != kind || delta.base != version) return Err(ResultCode.DELTA_BASE_UNKNOWN)
    val patched = ResourceContent.of(kind, delta.target.number, entries - delta.removed + delta.put)
    if (patched.version != delta.target) return Err(ResultCode.DELTA_DIGEST_MISMATCH)
    return Ok(patched)
}
