package dev.kumquatknot.standin.fleet

import arrow.core.Either
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.RequestFailure
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.session.SessionToken
import dev.kumquatknot.standin.database.MemberFault
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.add
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.charge
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.insert
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.select
import org.approvaltests.Approvals
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** One whole session, told in terms that do not depend on time: effects, values, terms and repetition. */
class SessionTranscriptSpec {
    private val fleet = LocalFleet(seed = 5)
    private val lines = StringBuilder()
    private var token = SessionToken(LocalFleet.TEAM)

    @AfterEach
    fun close() = fleet.close()

    @Test
    fun `reads as the golden file says`() {
        step("books a robe at node 0", 0, Work.Write(listOf(insert("robe", 1))))
        step("reads its booking at node 1", 1, Work.Read(listOf(select("robe"))))
        step("opens an account at node 2", 2, Work.Write(listOf(insert("deposit", 0))))
        step("charges 50 at node 0, key c-1", 0, Work.Write(listOf(add("deposit", 50))), charge, "c-1")
        losePrimary()
        step("reads its booking at node 2", 2, Work.Read(listOf(select("robe"))))
        step("changes its booking at node 1", 1, Work.Write(listOf(add("robe", 1))))
        step("reads its booking at node 0", 0, Work.Read(listOf(select("robe"))))
        step("repeats the charge at node 1, key c-1", 1, Work.Write(listOf(add("deposit", 50))), charge, "c-1")
        step("reads the account at node 0", 0, Work.Read(listOf(select("deposit"))))
        step("charges other work at node 2, key c-1", 2, Work.Write(listOf(add("deposit", 60))), charge, "c-1")
        step("books a robe that is booked", 0, Work.Write(listOf(insert("robe", 1))))
        Approvals.verify(lines)
    }

    private fun losePrimary() {
        val primary = fleet.nodes[0].primary(LocalFleet.DATABASE)!!.primary
        fleet.group.set(primary, MemberFault.IsolateFromVms())
        fleet.group.set(primary, MemberFault.IsolateFromMembers)
        lines.appendLine("(the primary is cut off from nodes and members)")
    }

    private fun step(
        what: String,
        node: Int,
        work: Work,
        kind: KindConfiguration = if (work is Work.Read) LocalFleet.browse else LocalFleet.book,
        key: String? = null,
    ) {
        val result = fleet.run(fleet.nodes[node], work, token, kind, key, DEADLINE)
        token = result.fold({ it.token }, { it.token })
        val written = if (work is Work.Write) ", session in ${termOfSession()}" else ""
        lines.appendLine("$what: ${describe(result)}$written")
    }

    private fun termOfSession() =
        if (token.pointOf(LocalFleet.DATABASE).term == Term(1)) "the first term" else "a later term"

    private fun describe(result: Either<RequestFailure, CallerReply>): String = result.fold(
        { "${it.failure.effect}, ${it.failure.reason}" },
        { reply ->
            val values = reply.results.flatMap { it.rows }.flatten().map { (it as SqlValue.Integer).value }
            val changed = reply.results.sumOf { it.updatedRows }
            val repeated = if (reply.repeated) ", first answer again" else ""
            "COMPLETED, values $values, $changed rows changed$repeated"
        },
    )

    private companion object {
        val DEADLINE = 15.seconds
    }
}
