package dev.kumquatknot.proxy.metric

/** What calls to the platform's store are for. */
public enum class StorePurpose {
    CONFIGURATION,
    MEMBERS,
    DUTY,
    REGISTRY,
    ;

    internal val label: String = name.lowercase()
}

/** Kinds of calls to the platform's store, which differ in their price. */
public enum class StoreCall {
    READ,
    STALE_READ,
    WRITE,
    LIST,
    WATCH,
    ;

    internal val label: String = name.lowercase()
}

/** Why a member is polled. */
public enum class PollPurpose {
    /** The primary's proof of its lead, which reads at replicas need. */
    PROOF,

    /** The end of a replica's log. */
    REPLICA,

    /** A primary that does not answer, or is unknown or leaving. */
    SUSPICION,

    /** A commit that no replica has confirmed yet. */
    CONFIRMATION,
    ;

    internal val label: String = name.lowercase()
}

/** What a VM does with a group when it opens a connection to a member. */
public enum class OpeningReason {
    /** It serves operations, or has done so in the last 5 s. */
    OPERATIONS,

    /** It decides failovers. */
    FAILOVER,

    /** It keeps a connection to each member, or polls members as a home VM. */
    REST,
    ;

    internal val label: String = name.lowercase()
}
