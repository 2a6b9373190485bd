package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId

/** Payload and sender of a message that passed all checks. */
internal class VerifiedMessage(
    val sender: InstanceId,
    val payload: ByteArray,
)
