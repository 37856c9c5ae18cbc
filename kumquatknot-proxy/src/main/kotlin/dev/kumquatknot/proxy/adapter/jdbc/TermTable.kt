package dev.kumquatknot.proxy.adapter.jdbc

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.TermProposal
import java.sql.Connection
import java.sql.PreparedStatement

/** The row of `kumquatknot_term`: the term that the database accepted, from whom, and the one it serves. */
internal data class TermRow(val accepted: Term, val proposer: VmName, val serving: Term) {
    fun servesChanges(term: Term): Boolean = accepted == term && serving == term

    fun isAcceptanceOf(proposal: TermProposal): Boolean = accepted == proposal.term && proposer == proposal.proposer
}

/** Statements on the one-row table that fences a primary. It is replicated like any other table. */
internal object TermTable {
    /** Creates the table with term 0. The owner of the database runs it once, at the primary. */
    val schema: List<String> = listOf(
        "CREATE TABLE kumquatknot_term (" +
            "accepted BIGINT NOT NULL, proposer VARCHAR(200) NOT NULL, serving BIGINT NOT NULL)",
        "INSERT INTO kumquatknot_term VALUES (0, '', 0)",
    )

    fun read(connection: Connection): TermRow = connection.prepareStatement(READ).use { it.row() }

    /** Reads the row with the locking clause [lock], so that it stays as it is until the transaction ends. */
    fun lock(connection: Connection, lock: String): TermRow =
        connection.prepareStatement("$READ $lock").use { it.row() }

    /** Accepts [proposal] if it is higher than what was accepted, or the same. */
    fun accept(connection: Connection, proposal: TermProposal): Boolean =
        connection.prepareStatement("UPDATE kumquatknot_term SET accepted = ?, proposer = ? $WHERE_ACCEPTABLE").use {
            it.setLong(1, proposal.term.value)
            it.setString(2, proposal.proposer.value)
            it.setAcceptable(FIRST_AFTER_TWO, proposal)
            it.executeUpdate() == 1
        }

    /** Accepts [proposal] and serves changes in it; the update is the first entry of the term. */
    fun serve(connection: Connection, proposal: TermProposal): Boolean =
        connection.prepareStatement(
            "UPDATE kumquatknot_term SET accepted = ?, proposer = ?, serving = ? $WHERE_ACCEPTABLE",
        ).use {
            it.setLong(1, proposal.term.value)
            it.setString(2, proposal.proposer.value)
            it.setLong(FIRST_AFTER_TWO, proposal.term.value)
            it.setAcceptable(FIRST_AFTER_THREE, proposal)
            it.executeUpdate() == 1
        }

    private fun PreparedStatement.setAcceptable(first: Int, proposal: TermProposal) {
        setLong(first, proposal.term.value)
        setLong(first + 1, proposal.term.value)
        setString(first + 2, proposal.proposer.value)
    }

    private fun PreparedStatement.row(): TermRow = executeQuery().use {
        check(it.next()) { "the table kumquatknot_term is empty" }
        TermRow(Term(it.getLong("accepted")), VmName(it.getString("proposer")), Term(it.getLong("serving")))
    }

    private const val READ = "SELECT accepted, proposer, serving FROM kumquatknot_term"
    private const val WHERE_ACCEPTABLE = "WHERE accepted < ? OR (accepted = ? AND proposer = ?)"
    private const val FIRST_AFTER_TWO = 3
    private const val FIRST_AFTER_THREE = 4
}
