package io.buckthornlever.cli

/** Entry point. */
public fun main() {
    println("buckthornlever")
}
