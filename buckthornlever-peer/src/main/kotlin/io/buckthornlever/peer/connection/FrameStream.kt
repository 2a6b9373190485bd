package io.buckthornlever.peer.connection

import io.buckthornlever.peer.process.PeerCodec
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt

/** Frames on a TCP connection: a four-byte length in network byte order, then the signed message. */
internal object FrameStream {
    /** Reads the next frame, or returns null if its length is out of range. Memory is allocated only after the length is checked. */
    suspend fun read(channel: ByteReadChannel): ByteArray? {
        val length = channel.readInt()
        return if (length in 1..PeerCodec.MAX_FRAME_BYTES) channel.readByteArray(length) else null
    }

    suspend fun write(channel: ByteWriteChannel, frame: ByteArray) {
        channel.writeInt(frame.size)
        channel.writeByteArray(frame)
        channel.flush()
    }
}
