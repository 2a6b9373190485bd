package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId

/** Payload of a message that passed all checks. */
internal class VerifiedMessage(
    val sender: InstanceId,
    val payload: ByteArray,
)
