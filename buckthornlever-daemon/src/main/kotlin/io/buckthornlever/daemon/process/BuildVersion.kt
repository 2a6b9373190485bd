package io.buckthornlever.daemon.process

/** Version of the daemon, from the manifest of the packaged jar. */
internal object BuildVersion {
    val text: String = BuildVersion::class.java.`package`?.implementationVersion ?: "development"
}
