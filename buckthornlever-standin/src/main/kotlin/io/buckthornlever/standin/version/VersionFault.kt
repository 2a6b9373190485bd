package io.buckthornlever.standin.version

/**
 * A defect of one version of an upstream. All conditions have to hold for a request to be affected.
 *
 * @property version label of the defective version; any version when null
 * @property slowFactor execution takes this many times as long; 1 leaves the speed unchanged
 * @property failureStatus HTTP status of the failing answer; the request succeeds when null
 * @property afterRequests requests of the version that are served before the defect shows
 * @property minInFlight number of requests in flight, this one included, at which the defect shows
 * @property pathPrefix requests with another path are not affected
 * @property everyNth of the requests that meet the other conditions, each n-th is affected
 */
public data class VersionFault(
    val version: String? = null,
    val slowFactor: Double = 1.0,
    val failureStatus: Int? = null,
    val afterRequests: Int = 0,
    val minInFlight: Int = 0,
    val pathPrefix: String = "/",
    val everyNth: Int = 1,
)
