package io.buckthornlever.daemon

/** Entry point. */
public fun main() {
    println("buckthornlever")
}
