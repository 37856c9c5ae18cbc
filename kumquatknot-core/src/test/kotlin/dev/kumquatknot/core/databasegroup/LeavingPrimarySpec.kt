package dev.kumquatknot.core.databasegroup

import arrow.core.right
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeavingPrimarySpec {
    private val memberNames = listOf("a", "b", "c").map { MemberName(it) }
    private val members = memberNames.map { MemberConfiguration(it, DataCentre("mendoza-a"), "10.0.0.1:1", 3, 20) }
    private val database = DatabaseConfiguration(DatabaseName("inventory"), members)
    private val detector = FailureDetector(database, GroupTiming())
    private val view = GroupView(database.name, Term(1), memberNames[0])
    private val now = 5.seconds

    private fun observe(member: MemberName, contactAge: Duration?) {
        val role = if (contactAge == null) MemberRole.PRIMARY else MemberRole.REPLICA
        val report = MemberReport(member, role, Term(1), HistoryPoint(Term(1), LogPosition(3)), contactAge)
        detector.observe(member, now, now, report.right())
    }

    private fun observeAll(replicaContactAge: Duration = 10.milliseconds) {
        observe(memberNames[0], null)
        memberNames.drop(1).forEach { observe(it, replicaContactAge) }
    }

    @Test
    fun `is replaced by one of the remaining members, both of which must accept the term`() {
        observeAll()
        expectThat(detector.verdict(view, now, setOf(memberNames[0])))
            .isEqualTo(PrimaryVerdict.Lost(LossReason.LEAVING, setOf(memberNames[1], memberNames[2])))
    }

    @Test
    fun `is kept while too few of the remaining members follow it`() {
        observeAll()
        expectThat(detector.verdict(view, now, setOf(memberNames[0], memberNames[1]))).isEqualTo(PrimaryVerdict.Healthy)
        observeAll(replicaContactAge = 700.milliseconds)
        expectThat(detector.verdict(view, now, setOf(memberNames[0]))).isEqualTo(PrimaryVerdict.Healthy)
    }

    @Test
    fun `is kept when a replica leaves`() {
        observeAll()
        expectThat(detector.verdict(view, now, setOf(memberNames[2]))).isEqualTo(PrimaryVerdict.Healthy)
    }
}
