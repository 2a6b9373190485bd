package io.buckthornlever.gateway.connection

/** Address at which a server listens. */
public data class ServerAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses `host:port`; returns null if [text] is not of that form. */
        public fun parse(text: String): ServerAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            val host = text.substringBeforeLast(':')
            return if (host.isEmpty() || port !in PORTS) null else ServerAddress(host, port)
        }

        private val PORTS = 1..65_535
    }
}
