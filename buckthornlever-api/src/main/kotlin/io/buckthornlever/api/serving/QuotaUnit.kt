package io.buckthornlever.api.serving

/** Unit in which the quota of a client account is counted. */
public enum class QuotaUnit {
    REQUESTS,
    TOKENS,
}
