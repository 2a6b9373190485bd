package io.buckthornlever.api.serving

/** What the quota of a client account counts. */
public enum class QuotaUnit {
    REQUESTS,
    TOKENS,
}
