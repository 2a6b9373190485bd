package io.buckthornlever.gateway.connection

/** Memory that the head of a request takes while the request is served. */
internal object RequestHeadSize {
    /** Objects of one header line without its characters: list entry, name, value and their arrays; measured at lines of four bytes. */
    const val LINE_BYTES = 150

    /** Characters of the head, its copies in decoded fields and the state of the request. */
    private const val COPIES = 4

    /** Head from which on it may consist of a long list, whose decoded entries take several times its characters. */
    private const val LIST_BYTES = 2 * 1_024
    private const val LIST_COPIES = 12
    private const val REQUEST_BYTES = 1_024

    /** Memory of a head with [lines] header lines that was sent as [bytes] bytes. */
    fun of(
        lines: Int,
        bytes: Int,
    ): Int = REQUEST_BYTES + lines * LINE_BYTES + bytes * COPIES + maxOf(0, bytes - LIST_BYTES) * LIST_COPIES
}
