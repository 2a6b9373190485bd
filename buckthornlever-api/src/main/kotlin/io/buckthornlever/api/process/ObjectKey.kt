package io.buckthornlever.api.process

/** Key of an object in the platform's object API, such as `config/routes`. */
@JvmInline
public value class ObjectKey(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** Stored route table. */
        public val ROUTES: ObjectKey = ObjectKey("config/routes")

        /** Stored pool table. */
        public val POOLS: ObjectKey = ObjectKey("config/pools")

        /** Stored table of client accounts. */
        public val ACCOUNTS: ObjectKey = ObjectKey("config/accounts")
    }
}
