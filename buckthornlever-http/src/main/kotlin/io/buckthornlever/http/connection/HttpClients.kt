package io.buckthornlever.http.connection

import okhttp3.OkHttpClient

/** HTTP clients that take no part of a response, and no response with an invalid status, for a complete one. */
public object HttpClients {
    /** Returns the builder from which every client of this process is built. */
    public fun builder(): OkHttpClient.Builder =
        OkHttpClient.Builder().socketFactory(ResetAwareSocketFactory).addNetworkInterceptor(StatusFilter)
}
