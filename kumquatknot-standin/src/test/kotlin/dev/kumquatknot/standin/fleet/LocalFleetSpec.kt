package dev.kumquatknot.standin.fleet

import arrow.core.getOrElse
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.RequestFailure
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.standin.database.MemberFault
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.add
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.charge
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.insert
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.select
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class LocalFleetSpec {
    private val fleet = LocalFleet(seed = 11)

    @AfterEach
    fun close() = fleet.close()

    private fun arrow.core.Either<RequestFailure, CallerReply>.reply(): CallerReply =
        getOrElse { error("${it.failure}") }

    private fun CallerReply.value(): Long? =
        (results.single().rows.singleOrNull()?.single() as? SqlValue.Integer)?.value

    @Nested
    inner class `a session` {
        @Test
        fun `reads its own write at every node, from replicas`() {
            val written = fleet.run(fleet.nodes[0], Work.Write(listOf(insert("robe", 1)))).reply()
            val reads = fleet.nodes.map { fleet.run(it, Work.Read(listOf(select("robe"))), written.token).reply() }
            expectThat(reads.map { it.value() }).isEqualTo(listOf(1L, 1L, 1L))
            expectThat(reads.count { it.role == MemberRole.REPLICA }).isNotEqualTo(0)
        }

        @Test
        fun `reads its own write after the primary was lost`() {
            val written = fleet.run(fleet.nodes[0], Work.Write(listOf(insert("robe", 1)))).reply()
            val first = fleet.nodes[0].primary(LocalFleet.DATABASE)!!
            fleet.group.set(first.primary, MemberFault.IsolateFromVms())
            fleet.group.set(first.primary, MemberFault.IsolateFromMembers)
            val again = fleet.run(fleet.nodes[1], Work.Write(listOf(add("robe", 4))), written.token).reply()
            val read = fleet.run(fleet.nodes[2], Work.Read(listOf(select("robe"))), again.token).reply()
            expectThat(read.value()).isEqualTo(5L)
            expectThat(fleet.nodes[1].primary(LocalFleet.DATABASE)!!.primary).isNotEqualTo(first.primary)
        }
    }

    @Nested
    inner class `a leaving backend server` {
        @Test
        fun `hands its primary over within the target and gets no new work`() {
            val written = fleet.run(fleet.nodes[0], Work.Write(listOf(insert("robe", 1)))).reply()
            val leaving = fleet.nodes[0].primary(LocalFleet.DATABASE)!!.primary
            fleet.markLeaving(leaving)
            expectThat(fleet.awaitPrimaryOtherThan(leaving, 3.seconds)).isTrue()
            val again = fleet.run(fleet.nodes[1], Work.Write(listOf(add("robe", 4))), written.token).reply()
            val reads = fleet.nodes.map { fleet.run(it, Work.Read(listOf(select("robe"))), again.token).reply() }
            expectThat(reads.map { it.value() }).isEqualTo(listOf(5L, 5L, 5L))
            expectThat((reads + again).none { it.servedBy == leaving }).isTrue()
        }
    }

    @Nested
    inner class `keyed work` {
        @Test
        fun `runs once and gives its first answer again at another node`() {
            fleet.run(fleet.nodes[0], Work.Write(listOf(insert("deposit", 0)))).reply()
            val work = Work.Write(listOf(add("deposit", 50)))
            val first = fleet.run(fleet.nodes[0], work, kind = charge, key = "k-1").reply()
            val second = fleet.run(fleet.nodes[1], work, kind = charge, key = "k-1").reply()
            val read = fleet.run(fleet.nodes[2], Work.Read(listOf(select("deposit"))), second.token).reply()
            expectThat(first.repeated).isFalse()
            expectThat(second.repeated).isTrue()
            expectThat(second.results).isEqualTo(first.results)
            expectThat(read.value()).isEqualTo(50L)
        }

        @Test
        fun `runs once when the answer to the commit is lost`() {
            fleet.run(fleet.nodes[0], Work.Write(listOf(insert("deposit", 0)))).reply()
            val primary = fleet.nodes[0].primary(LocalFleet.DATABASE)!!.primary
            fleet.group.set(primary, MemberFault.LoseCommitAnswers(1))
            val work = Work.Write(listOf(add("deposit", 50)))
            val token = fleet.run(fleet.nodes[0], work, kind = charge, key = "k-2")
                .fold({ it.token }, { it.token })
            val second = fleet.run(fleet.nodes[1], work, token, kind = charge, key = "k-2").reply()
            val read = fleet.run(fleet.nodes[2], Work.Read(listOf(select("deposit"))), second.token).reply()
            expectThat(read.value()).isEqualTo(50L)
        }

        @Test
        fun `is refused for other work under the same key`() {
            fleet.run(fleet.nodes[0], Work.Write(listOf(insert("a", 1))), kind = charge, key = "k-3").reply()
            val other = fleet.run(fleet.nodes[1], Work.Write(listOf(insert("b", 1))), kind = charge, key = "k-3")
            expectThat(other.leftOrNull()!!.failure.reason).isEqualTo(FailureReason.KEY_REUSED)
            expectThat(other.leftOrNull()!!.failure.effect).isEqualTo(Effect.NOT_RUN)
        }

        @Test
        fun `that never arrived is resolved as not run, and stays so`() {
            fleet.run(fleet.nodes[0], Work.Write(listOf(insert("c", 1))), kind = charge, key = "other").reply()
            val resolved = fleet.run(fleet.nodes[0], Work.Resolve, kind = charge, key = "k-4")
            expectThat(resolved.leftOrNull()!!.failure.effect).isEqualTo(Effect.NOT_RUN)
            val late = fleet.run(fleet.nodes[1], Work.Write(listOf(insert("d", 1))), kind = charge, key = "k-4")
            val read = fleet.run(fleet.nodes[2], Work.Read(listOf(select("d"))), late.leftOrNull()!!.token).reply()
            expectThat(late.leftOrNull()!!.failure.reason).isEqualTo(FailureReason.ABANDONED)
            expectThat(late.leftOrNull()!!.failure.effect).isEqualTo(Effect.NOT_RUN)
            expectThat(read.value()).isEqualTo(null)
        }

        @Test
        fun `that ran is resolved as completed`() {
            val first = fleet.run(
                fleet.nodes[0],
                Work.Write(listOf(insert("e", 1))),
                kind = charge,
                key = "k-5",
            ).reply()
            val resolved = fleet.run(fleet.nodes[2], Work.Resolve, kind = charge, key = "k-5").reply()
            expectThat(resolved.results).isEqualTo(first.results)
        }
    }

    @Nested
    inner class `a write that may run twice` {
        @Test
        fun `stays unknown when its first run is not answered and its second one fails`() {
            fleet.network.loseAnswers(VmName("entry-0"))
            val written = fleet.run(
                fleet.nodes[1],
                Work.Write(listOf(insert("once", 1))),
                deadline = 2.seconds,
            ).leftOrNull()!!
            fleet.network.heal()
            val read = fleet.run(fleet.nodes[2], Work.Read(listOf(select("once"))), written.token).reply()
            expectThat(read.value()).isEqualTo(1L)
            expectThat(written.failure.effect).isEqualTo(Effect.UNKNOWN)
        }
    }

    @Nested
    inner class `an interactive transaction` {
        @Test
        fun `spans requests at different nodes and commits`() {
            val begun = fleet.run(fleet.nodes[0], Work.Begin).reply()
            val handle = begun.transaction!!
            fleet.run(fleet.nodes[1], Work.Run(handle, listOf(insert("t", 7))), begun.token).reply()
            val committed = fleet.run(fleet.nodes[2], Work.Commit(handle), begun.token).reply()
            val read = fleet.run(fleet.nodes[0], Work.Read(listOf(select("t"))), committed.token).reply()
            expectThat(read.value()).isEqualTo(7L)
        }

        @Test
        fun `leaves nothing behind when its node dies`() {
            val begun = fleet.run(fleet.nodes[0], Work.Begin).reply()
            val handle = begun.transaction!!
            fleet.run(fleet.nodes[1], Work.Run(handle, listOf(insert("t", 7))), begun.token).reply()
            val holder = fleet.nodes.indices.first { "entry-$it" == handle.vm.value }
            fleet.kill(holder)
            val other = fleet.nodes[(holder + 1) % fleet.nodes.size]
            val commit = fleet.run(other, Work.Commit(handle), begun.token)
            expectThat(commit.leftOrNull()!!.failure.effect).isEqualTo(Effect.NOT_RUN)
            val read = fleet.run(other, Work.Read(listOf(select("t"))), begun.token).reply()
            expectThat(read.value()).isEqualTo(null)
        }

        @Test
        fun `whose commit answer was lost is not told as not run when its commit comes again`() {
            val begun = fleet.run(fleet.nodes[0], Work.Begin).reply()
            val handle = begun.transaction!!
            fleet.run(fleet.nodes[1], Work.Run(handle, listOf(insert("t", 7))), begun.token).reply()
            val primary = fleet.nodes[0].primary(LocalFleet.DATABASE)!!.primary
            fleet.group.set(primary, MemberFault.LoseCommitAnswers(1))
            val lost = fleet.run(fleet.nodes[1], Work.Commit(handle), begun.token, deadline = 1.seconds).leftOrNull()!!
            val again = fleet.run(fleet.nodes[1], Work.Commit(handle), lost.token).leftOrNull()!!
            expectThat(lost.failure.effect).isEqualTo(Effect.UNKNOWN)
            expectThat(again.failure.effect).isEqualTo(Effect.UNKNOWN)
        }

        @Test
        fun `whose keyed commit answer was lost gives its first answer when its commit comes again`() {
            val begun = fleet.run(fleet.nodes[0], Work.Begin, kind = charge).reply()
            val handle = begun.transaction!!
            fleet.run(fleet.nodes[1], Work.Run(handle, listOf(insert("t", 7))), begun.token, charge).reply()
            val primary = fleet.nodes[0].primary(LocalFleet.DATABASE)!!.primary
            fleet.group.set(primary, MemberFault.LoseCommitAnswers(1))
            val commit = Work.Commit(handle)
            fleet.run(fleet.nodes[1], commit, begun.token, charge, "k-6", deadline = 1.seconds).leftOrNull()!!
            val again = fleet.run(fleet.nodes[2], commit, begun.token, charge, "k-6").reply()
            expectThat(again.repeated).isTrue()
        }

        @Test
        fun `that commits with a key that has committed before changes nothing and gets the first answer`() {
            val handles = List(2) { fleet.run(fleet.nodes[it], Work.Begin, kind = charge).reply().transaction!! }
            fleet.run(fleet.nodes[0], Work.Run(handles[0], listOf(insert("t", 7))), kind = charge).reply()
            val first = fleet.run(fleet.nodes[0], Work.Commit(handles[0]), kind = charge, key = "k-7").reply()
            fleet.run(fleet.nodes[1], Work.Run(handles[1], listOf(insert("u", 8))), kind = charge).reply()
            val second = fleet.run(fleet.nodes[1], Work.Commit(handles[1]), kind = charge, key = "k-7").reply()
            val read = fleet.run(fleet.nodes[2], Work.Read(listOf(select("u"))), second.token).reply()
            expectThat(listOf(first.repeated, second.repeated)).isEqualTo(listOf(false, true))
            expectThat(read.value()).isEqualTo(null)
        }
    }
}
