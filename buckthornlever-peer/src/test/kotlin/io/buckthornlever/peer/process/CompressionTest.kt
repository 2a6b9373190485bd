package io.buckthornlever.peer.process

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CompressionTest {
    /** Guards against lost bytes, and against an endless loop or an exception on truncated or corrupted input. */
    @Property(seed = "61", tries = 200)
    fun `deflated bytes inflate to the original and corrupted input terminates`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val bytes = ByteArray(random.nextInt(200_000)) { random.nextInt(4).toByte() }
        val deflated = Compression.deflate(bytes)
        assertContentEquals(bytes, Compression.inflate(deflated))
        val damaged = deflated.copyOf(random.nextInt(deflated.size))
        if (damaged.isNotEmpty()) damaged[random.nextInt(damaged.size)] = random.nextInt().toByte()
        val inflated = Compression.inflate(damaged)
        assertTrue(inflated == null || inflated.size <= Compression.MAX_INFLATED_BYTES)
    }

    @Test
    fun `a small frame cannot allocate unbounded memory`() {
        assertNull(Compression.inflate(Compression.deflate(ByteArray(Compression.MAX_INFLATED_BYTES + 1))))
    }
}
