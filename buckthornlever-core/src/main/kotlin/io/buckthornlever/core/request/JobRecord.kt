package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.request.RequestId
import kotlinx.serialization.Serializable

/**
 * Stored value of `jobs/<id>`: everything that another instance needs to produce the same response.
 *
 * @property seed seed of the generation; repeating the job with the same seed gives the same tokens
 * @property fencing fencing token of the ownership; increases with every takeover
 * @property leaseUntilMillis wall-clock time in milliseconds after which another instance may take over the job
 * @property result Base64-encoded response body if [state] is [JobState.DONE], or the error if it is [JobState.FAILED]
 */
@Serializable
public data class JobRecord(
    val id: RequestId,
    val account: AccountId,
    val path: String,
    val body: String,
    val seed: Long,
    val owner: InstanceId,
    val fencing: Long,
    val leaseUntilMillis: Long,
    val state: JobState,
    val status: Int = 0,
    val result: String? = null,
) {
    public companion object {
        /** Prefix of all job records. */
        public const val PREFIX: String = "jobs/"

        /** Key of the record of job [id]. */
        public fun key(id: RequestId): ObjectKey = ObjectKey("$PREFIX${id.value}")
    }
}
