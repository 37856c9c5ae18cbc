package dev.kumquatknot.core.interactive

/** Whether a statement only reads. */
public enum class StatementAccess {
    READ,
    WRITE,
}

/** A statement of an interactive session, as its caller sent it. */
public sealed interface SessionStatement {
    /** Opens a transaction; one that is [readOnly] may run at a replica. */
    public data class Begin(val readOnly: Boolean) : SessionStatement

    /** Commits the open transaction; [text] is passed on unchanged. */
    public data class Commit(val text: String) : SessionStatement

    /** Rolls the open transaction back. */
    public data object Rollback : SessionStatement

    /** A statement for a member, which gets [text] unchanged. */
    public data class Run(val access: StatementAccess, val text: String) : SessionStatement

    /** Sets a value of the session. */
    public data class SetValue(val name: String, val value: String) : SessionStatement

    /** Names a [plan] for later use in this session. */
    public data class Prepare(val name: String, val plan: StatementPlan) : SessionStatement

    /** Runs the plan called [name] with [arguments], which the member gets unchanged. */
    public data class Execute(val name: String, val arguments: String) : SessionStatement

    /** Forgets the plan called [name]. */
    public data class Deallocate(val name: String) : SessionStatement

    /** A text that is no statement; [detail] says why. */
    public data class Malformed(val detail: String) : SessionStatement
}

/** What a prepared statement does; [shape] is opaque to the proxy. */
public data class StatementPlan(val access: StatementAccess, val shape: String)
