package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.request.RequestId
import kotlinx.serialization.Serializable

/**
 * Value of `jobs/<id>`: everything that another instance needs to produce the same response.
 *
 * @property seed seed of the generation; with it a repetition gives the same tokens
 * @property fencing number of the ownership; grows with every takeover
 * @property leaseUntilMillis wall-clock time after which another instance may take the job over
 * @property result response body, in base 64, when [state] is [JobState.DONE], or the error when it is [JobState.FAILED]
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
