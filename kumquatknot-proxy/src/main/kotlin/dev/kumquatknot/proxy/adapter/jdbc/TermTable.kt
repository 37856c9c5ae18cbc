package dev.kumquatknot.proxy.adapter.jdbc

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.TermProposal
import java.sql.Connection
import java.sql.PreparedStatement

/** The row of `kumquatknot_term`: the term that the database accepted, its proposer, and the term that it serves. */
internal data class TermRow(val accepted: Term, val proposer: VmName, val serving: Term) {
    fun servesChanges(term: Term): Boolean = accepted == term && serving == term

    fun isAcceptanceOf(proposal: TermProposal): Boolean = accepted == proposal.term && proposer == proposal.proposer
}

/** SQL statements on the one-row table that fences a primary. The table is replicated like any other. */
internal object TermTable {
    /** Creates the table with term 0. The owner of the database runs these statements once, at the primary. */
    val schema: List<String> = listOf(
        "CREATE TABLE kumquatknot_term (" +
            "accepted BIGINT NOT NULL, proposer VARCHAR(200) NOT NULL, serving BIGINT NOT NULL)",
        "INSERT INTO kumquatknot_term VALUES (0, '', 0)",
    )

    fun read(connection: Connection): TermRow = connection.prepareStatement(READ).use { it.row() }

    /** Reads the row with the locking clause [lock], so that it cannot change until the transaction ends. */
    fun lock(connection: Connection, lock: String): TermRow =
        connection.prepareStatement("$READ $lock").use { it.row() }

    /** Accepts [proposal] if its term is higher than the accepted one, or if it was accepted before. */
    fun accept(connection: Connection, proposal: TermProposal): Boolean =
        connection.prepareStatement("UPDATE kumquatknot_term SET accepted = ?, proposer = ? $WHERE_ACCEPTABLE").use {
            it.setLong(1, proposal.term.value)
            it.setString(2, proposal.proposer.value)
            it.setAcceptableCondition(THIRD_PARAMETER, proposal)
            it.executeUpdate() == 1
        }

    /** Accepts [proposal] and serves changes in its term; the update is the first log entry of the term. */
    fun serve(connection: Connection, proposal: TermProposal): Boolean =
        connection.prepareStatement(
            "UPDATE kumquatknot_term SET accepted = ?, proposer = ?, serving = ? $WHERE_ACCEPTABLE",
        ).use {
            it.setLong(1, proposal.term.value)
            it.setString(2, proposal.proposer.value)
            it.setLong(THIRD_PARAMETER, proposal.term.value)
            it.setAcceptableCondition(FOURTH_PARAMETER, proposal)
            it.executeUpdate() == 1
        }

    private fun PreparedStatement.setAcceptableCondition(firstIndex: Int, proposal: TermProposal) {
        setLong(firstIndex, proposal.term.value)
        setLong(firstIndex + 1, proposal.term.value)
        setString(firstIndex + 2, proposal.proposer.value)
    }

    private fun PreparedStatement.row(): TermRow = executeQuery().use {
        check(it.next()) { "the table kumquatknot_term is empty" }
        TermRow(Term(it.getLong("accepted")), VmName(it.getString("proposer")), Term(it.getLong("serving")))
    }

    private const val READ = "SELECT accepted, proposer, serving FROM kumquatknot_term"
    private const val WHERE_ACCEPTABLE = "WHERE accepted < ? OR (accepted = ? AND proposer = ?)"
    private const val THIRD_PARAMETER = 3
    private const val FOURTH_PARAMETER = 4
}
