package io.buckthornlever.api.process

/** Key of an object in the platform's object API, such as `config/routes`. */
@JvmInline
public value class ObjectKey(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** Key of the route table. */
        public val ROUTES: ObjectKey = ObjectKey("config/routes")

        /** Key of the pool table. */
        public val POOLS: ObjectKey = ObjectKey("config/pools")

        /** Key of the table of client accounts. */
        public val ACCOUNTS: ObjectKey = ObjectKey("config/accounts")
    }
}
