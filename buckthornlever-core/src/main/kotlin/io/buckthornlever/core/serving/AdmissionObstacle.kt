package io.buckthornlever.core.serving

/** Why a request is delayed or refused when its service is overloaded. */
public enum class AdmissionObstacle(
    /** Reason as it appears in the log. */
    public val reason: String,
) {
    /** The expected first output comes after the caller has given up. */
    STARTS_TOO_LATE("the run cannot start in time"),

    /** The expected last output comes after the deadline. */
    ENDS_TOO_LATE("the run cannot end in time"),

    /** The wait would make more urgent requests of the service late. */
    LESS_URGENT("the service has room for more urgent requests only"),

    /** All requests of this priority would be late if all were served. */
    OVERLOADED("the service has room for a part of the requests only"),

    /** The account uses more than its share of the room, which is short. */
    ACCOUNT_SHARE("the account uses more than its share"),
}
