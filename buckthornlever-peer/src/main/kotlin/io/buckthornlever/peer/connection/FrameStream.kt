package io.buckthornlever.peer.connection

import io.buckthornlever.peer.process.PeerCodec
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt

/** Frames on a TCP connection: four bytes of length in network order, then the sealed message. */
internal object FrameStream {
    /** The next frame; null when its length is out of range. The memory is not reserved before the length is checked. */
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
