package io.buckthornlever.http.connection

import okhttp3.ConnectionPool
import java.util.concurrent.TimeUnit

/** Connections of HTTP clients whose responses must not be mistaken for the copy of an earlier one. */
public object SingleUseConnections {
    /** Returns a pool that keeps no idle connection, so that each call gets a new one. */
    public fun pool(): ConnectionPool = ConnectionPool(0, 1, TimeUnit.SECONDS)
}
