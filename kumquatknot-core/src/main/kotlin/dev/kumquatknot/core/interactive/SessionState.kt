package dev.kumquatknot.core.interactive

/** What a session has set: its values and its prepared statements by name. */
public data class SessionState(
    val values: Map<String, String> = emptyMap(),
    val plans: Map<String, StatementPlan> = emptyMap(),
) {
    /** Returns the memory after a value was set. */
    public fun with(statement: SessionStatement.SetValue): SessionState =
        copy(values = values + (statement.name to statement.value))

    /** Returns the memory after a statement was prepared. */
    public fun with(statement: SessionStatement.Prepare): SessionState =
        copy(plans = plans + (statement.name to statement.plan))

    /** Returns the memory without the plan called [name]. */
    public fun without(name: String): SessionState = copy(plans = plans - name)
}

/**
 * What a member's connection has been told, so that any session can be put onto it.
 *
 * Plans are shared among sessions: a connection knows each under a name that is made from what it does.
 */
public data class ConnectionState(
    val values: Map<String, String> = emptyMap(),
    val plans: Set<StatementPlan> = emptySet(),
    val uncertain: Boolean = false,
) {
    /**
     * Returns the commands that give the connection exactly the [wanted] values and, where one is needed, the [plan],
     * together with the memory after them.
     */
    public fun prepareFor(wanted: Map<String, String>, plan: StatementPlan?): PreparedConnection {
        val reset = uncertain || values.keys.any { it !in wanted } || plans.size >= MAXIMUM_PLANS
        val base = if (reset) ConnectionState() else this
        val changed = wanted.filter { (name, value) -> base.values[name] != value }
        val missing = plan?.takeIf { it !in base.plans }
        val commands = buildList {
            if (reset) add(MemberCommand.Reset)
            changed.forEach { (name, value) -> add(MemberCommand.SetValue(name, value)) }
            missing?.let { add(MemberCommand.Prepare(planName(it), it)) }
        }
        return PreparedConnection(commands, ConnectionState(wanted, base.plans + setOfNotNull(missing)))
    }

    public companion object {
        /** Plans that one connection keeps before it is reset; bounds the memory that it takes at the member. */
        public const val MAXIMUM_PLANS: Int = 200

        /** Returns the name under which every connection knows [plan]. */
        public fun planName(plan: StatementPlan): String =
            (if (plan.access == StatementAccess.READ) "r_" else "w_") + plan.shape
    }
}

/** The [commands] that make a connection ready for a session, and what it knows [after] them. */
public data class PreparedConnection(val commands: List<MemberCommand>, val after: ConnectionState)
