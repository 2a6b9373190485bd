package io.buckthornlever.core.serving

/**
 * Load as an upstream states it, before anything is known about whether it can be right.
 *
 * @property running requests that it runs
 * @property waiting requests that wait there
 * @property slots requests that it can run at once; null if it does not say
 * @property slowdown factor by which work takes longer than usual on its machine; null if it does not say
 */
public data class StatedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int? = null,
    val slowdown: Double? = null,
)
