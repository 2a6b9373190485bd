package io.buckthornlever.standin.process

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** KV caches that an engine has exported or imported, by handle. */
internal class KvHandles {
    private val exported = ConcurrentHashMap<String, List<String>>()
    private val imported = ConcurrentHashMap<String, List<String>>()
    private val counter = AtomicLong()

    /** Keeps [tokens] for other engines; returns the name. */
    fun export(tokens: List<String>): String {
        val name = counter.incrementAndGet().toString()
        exported[name] = tokens
        return name
    }

    fun exported(name: String): List<String>? = exported[name]

    fun import(
        handle: String,
        tokens: List<String>,
    ) {
        imported[handle] = tokens
    }

    /** Number of leading tokens of [sequence] that the imported [handle] covers. */
    fun commonPrefix(
        handle: String,
        sequence: List<String>,
    ): Int {
        val tokens = imported[handle] ?: return 0
        return tokens.zip(sequence).takeWhile { (held, wanted) -> held == wanted }.size
    }

    fun clear() {
        exported.clear()
        imported.clear()
    }
}
