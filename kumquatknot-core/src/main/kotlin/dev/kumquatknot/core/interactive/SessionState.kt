package dev.kumquatknot.core.interactive

/** State that a session has set up: its variables and its prepared statements, by name. */
public data class SessionState(
    val values: Map<String, String> = emptyMap(),
    val plans: Map<String, StatementPlan> = emptyMap(),
) {
    /** Returns the state after a variable was set. */
    public fun with(statement: SessionStatement.SetValue): SessionState =
        copy(values = values + (statement.name to statement.value))

    /** Returns the state after a statement was prepared. */
    public fun with(statement: SessionStatement.Prepare): SessionState =
        copy(plans = plans + (statement.name to statement.plan))

    /** Returns the state without the plan called [name]. */
    public fun without(name: String): SessionState = copy(plans = plans - name)
}

/**
 * Session state that is set up on a connection to a member, so that the connection can be given to any session.
 *
 * Prepared plans are shared among sessions by their [StatementPlan.sharedName].
 *
 * @property uncertain whether the actual state may differ from the recorded one; the connection is reset before use.
 */
public data class ConnectionState(
    val values: Map<String, String> = emptyMap(),
    val plans: Set<StatementPlan> = emptySet(),
    val uncertain: Boolean = false,
) {
    /**
     * Returns the commands that set exactly the [wanted] variables on the connection and prepare the [plan], if one is
     * given, together with the connection's state after them.
     */
    public fun prepareFor(wanted: Map<String, String>, plan: StatementPlan?): PreparedConnection {
        val isPrepared = plan == null || plan in plans
        val isUsable = !uncertain && plans.size < MAXIMUM_PLANS
        if (isUsable && isPrepared && values == wanted) return PreparedConnection(emptyList(), this)
        val reset = uncertain || values.keys.any { it !in wanted } || plans.size >= MAXIMUM_PLANS
        val base = if (reset) ConnectionState() else this
        val changed = wanted.filter { (name, value) -> base.values[name] != value }
        val missing = plan?.takeIf { it !in base.plans }
        val commands = buildList {
            if (reset) add(MemberCommand.Reset)
            changed.forEach { (name, value) -> add(MemberCommand.SetValue(name, value)) }
            missing?.let { add(MemberCommand.Prepare(it.sharedName, it)) }
        }
        return PreparedConnection(commands, ConnectionState(wanted, base.plans + setOfNotNull(missing)))
    }

    public companion object {
        /** Number of prepared plans at which a connection is reset, which limits its memory use at the member. */
        public const val MAXIMUM_PLANS: Int = 200
    }
}

/** The [commands] that set up a connection for a session, and the connection's state [after] them. */
public data class PreparedConnection(val commands: List<MemberCommand>, val after: ConnectionState)
