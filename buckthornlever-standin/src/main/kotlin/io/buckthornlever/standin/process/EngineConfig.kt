package io.buckthornlever.standin.process

/**
 * Properties of an [EngineStandIn].
 *
 * @property version label of the version that it runs at the start
 * @property concurrency requests in one batch when warm
 * @property maxWaiting requests that wait beyond the batch; more are answered with 503
 * @property coldConcurrency requests at once that it bears when cold; it crashes above
 * @property warmAfterCompletions requests that a cold engine completes before it is warm
 * @property cold true when it starts cold
 * @property decodeMicrosPerToken duration of a batch step that generates one token per request, in microseconds
 * @property decodeMicrosPerSequence additional duration of a batch step for each request in it, in microseconds
 * @property prefillMicrosPerToken time to compute one prompt token, in microseconds
 * @property prefillTokensPerStep prompt tokens computed in one batch step at most
 * @property cacheBlocks blocks that the prefix cache holds at most
 * @property kvMicrosPerToken time to import the KV cache of one token from another engine, in microseconds
 * @property honoursFencing true when orders with an old fencing number are refused
 * @property orderMillis time that the execution of an order takes, in milliseconds
 * @property coldAfterOrder true when an order that names a version makes the engine cold
 * @property maxThreads threads that handle requests; an open stream occupies one
 */
public data class EngineConfig(
    val version: String = "v1",
    val concurrency: Int = 64,
    val maxWaiting: Int = 128,
    val coldConcurrency: Int = 4,
    val warmAfterCompletions: Int = 16,
    val cold: Boolean = false,
    val decodeMicrosPerToken: Long = 2_000,
    val decodeMicrosPerSequence: Long = 0,
    val prefillMicrosPerToken: Long = 20,
    val prefillTokensPerStep: Int = 512,
    val cacheBlocks: Int = 4_096,
    val kvMicrosPerToken: Long = 2,
    val honoursFencing: Boolean = true,
    val orderMillis: Long = 0,
    val coldAfterOrder: Boolean = true,
    val maxThreads: Int = 600,
)
