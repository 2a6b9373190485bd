package io.buckthornlever.standin.process

/**
 * Properties of a [PlainServiceStandIn].
 *
 * @property version label of the version that it runs at the start
 * @property concurrency requests at once that it executes when warm; more are answered with 503
 * @property coldConcurrency requests at once that it bears when cold; it crashes above
 * @property warmAfterCompletions requests that a cold service completes before it is warm
 * @property cold true when it starts cold
 * @property maxThreads threads that handle requests
 */
public data class PlainServiceConfig(
    val version: String = "v1",
    val concurrency: Int = 64,
    val coldConcurrency: Int = 4,
    val warmAfterCompletions: Int = 16,
    val cold: Boolean = false,
    val maxThreads: Int = 300,
)
