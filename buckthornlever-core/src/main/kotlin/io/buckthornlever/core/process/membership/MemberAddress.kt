package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * Identity, network address and failure domain of a member.
 *
 * @property host IP address
 * @property port port of the protocol between entry instances, the same for UDP and TCP
 */
@Serializable
@CborArray
public data class MemberAddress(
    val id: InstanceId,
    val host: String,
    val port: Int,
    val failureDomain: FailureDomain,
)
