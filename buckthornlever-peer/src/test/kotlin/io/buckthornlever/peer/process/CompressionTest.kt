package io.buckthornlever.peer.process

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CompressionTest {
    /** Guards against lost bytes, and against an endless loop or an exception on damaged input. */
    @Property(seed = "61", tries = 200)
    fun `bytes survive and damaged input ends`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val bytes = ByteArray(random.nextInt(200_000)) { random.nextInt(4).toByte() }
        val packed = Compression.deflate(bytes)
        assertContentEquals(bytes, Compression.inflate(packed))
        val damaged = packed.copyOf(random.nextInt(packed.size))
        if (damaged.isNotEmpty()) damaged[random.nextInt(damaged.size)] = random.nextInt().toByte()
        val inflated = Compression.inflate(damaged)
        assertTrue(inflated == null || inflated.size <= Compression.MAX_INFLATED_BYTES)
    }

    @Test
    fun `a small frame cannot claim unbounded memory`() {
        assertNull(Compression.inflate(Compression.deflate(ByteArray(Compression.MAX_INFLATED_BYTES + 1))))
    }
}
