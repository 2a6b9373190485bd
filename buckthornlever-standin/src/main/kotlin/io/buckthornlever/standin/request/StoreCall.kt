package io.buckthornlever.standin.request

/** Kind of a call to the object API. */
public enum class StoreCall(
    internal val changesObjects: Boolean,
) {
    /** Read of one object. */
    READ(false),

    /** Conditional creation or update. */
    WRITE(true),

    /** Conditional deletion. */
    DELETE(true),

    /** Read of all objects below a prefix. */
    LIST(false),

    /** Long poll for changes. */
    WATCH(false),
}
