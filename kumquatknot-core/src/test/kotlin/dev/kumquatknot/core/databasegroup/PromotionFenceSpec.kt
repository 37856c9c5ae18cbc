package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.interactive.MemberCommand
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PromotionFenceSpec {
    private val primary = MemberName("primary")
    private val candidate = MemberName("candidate")
    private val other = MemberName("other")
    private val start = 60.seconds
    private val fence =
        PromotionFence(candidate, primary, FailoverReason.PRIMARY_LEAVING, Term(2), start, FenceTiming())

    private fun point(position: Long) = HistoryPoint(Term(1), LogPosition(position))

    private fun member(
        name: MemberName,
        received: Long,
        at: Duration,
        leads: Boolean = name == primary,
        held: Long = 0,
    ) = ObservedMember(
        name = name,
        leaving = name == primary,
        answeredAt = at,
        failingSince = null,
        failures = 0,
        refusing = false,
        received = point(received),
        report = ReceivedReport(point(received), at, at, leads, Term(1), Term(held)),
    )

    /** Observes all members at [at] and returns the member that may be promoted. */
    private fun chosen(
        at: Duration,
        primaryAt: Long,
        candidateAt: Long,
        otherAt: Long,
        leads: Boolean = true,
        held: Long = 2,
        candidateHeld: Long = 0,
    ): MemberName? {
        val members = listOf(
            member(primary, primaryAt, at, leads),
            member(candidate, candidateAt, at, held = candidateHeld),
            member(other, otherAt, at, held = held),
        )
        fence.observe(members)
        val replicated = point(maxOf(candidateAt, otherAt, if (leads) 0 else primaryAt))
        return fence.choose(members, ObservedReplication(1, replicated), at)?.name
    }

    private fun group(at: Duration, otherAt: Long, held: Long, leaving: Boolean): ObservedGroup {
        val leader = member(primary, 20, at).copy(leaving = leaving)
        val members = listOf(leader, member(candidate, 20, at), member(other, otherAt, at, held = held))
        return ObservedGroup(members, primary, isProved = true, ObservedReplication(1))
    }

    private fun send(at: Duration) =
        fence.dueCommands(listOf(member(primary, 9, at), member(candidate, 9, at), member(other, 9, at)), at)

    private fun pauseOther() {
        send(start)
        fence.recordAnswer(other, MemberCommand.Pause(Term(2)), start)
    }

    @Nested
    inner class `a replica that has answered the command to pause` {
        @Test
        fun `counts once it has stood still while another member advanced`() {
            pauseOther()
            expectThat(chosen(start + 50.milliseconds, 12, 12, 10)).isNull()
            expectThat(chosen(start + 150.milliseconds, 14, 14, 10)).isNull()
            expectThat(chosen(start + 250.milliseconds, 15, 15, 10)).isEqualTo(candidate)
        }

        @Test
        fun `counts only after a longer time if nobody advanced, as in a group without writes`() {
            pauseOther()
            expectThat(chosen(start + 50.milliseconds, 10, 10, 10)).isNull()
            expectThat(chosen(start + 550.milliseconds, 10, 10, 10)).isNull()
            expectThat(chosen(start + 1_050.milliseconds, 10, 10, 10)).isEqualTo(candidate)
        }

        /** The answer alone was no proof: the members of the review answer and receive on. */
        @Test
        fun `never counts if it has received commits since, and the primary is told to step down`() {
            pauseOther()
            expectThat(chosen(start + 50.milliseconds, 12, 12, 10)).isNull()
            expectThat(chosen(start + 150.milliseconds, 14, 14, 12)).isNull()
            expectThat(chosen(start + 5.seconds, 14, 14, 12)).isNull()
            expectThat(send(start + 200.milliseconds)[primary]).isA<MemberCommand.StepDown>()
        }

        @Test
        fun `is paused again after a restart`() {
            pauseOther()
            expectThat(chosen(start + 50.milliseconds, 12, 12, 10)).isNull()
            expectThat(chosen(start + 250.milliseconds, 14, 14, 10, held = 0)).isNull()
            expectThat(send(start + 300.milliseconds)[other]).isA<MemberCommand.Pause>()
        }

        @Test
        fun `does not make up for a candidate that lacks what it has`() {
            pauseOther()
            expectThat(chosen(start + 50.milliseconds, 12, 9, 10)).isNull()
            expectThat(chosen(start + 1_250.milliseconds, 14, 9, 10)).isNull()
        }
    }

    @Nested
    inner class `a replica that was paused for an order` {
        private val failover = GroupFailover()

        private fun next(at: Duration, otherAt: Long, held: Long): FailoverStep? =
            failover.next(group(at, otherAt, held, leaving = true), at)

        /** It once received commits again until the promotion took effect, as the fence was renewed only before. */
        @Test
        fun `is paused again if it restarts before the order takes effect`() {
            expectThat(
                next(start, 9, held = 0),
            ).isEqualTo(FailoverStep.Send(mapOf(other to MemberCommand.Pause(Term(2)))))
            failover.recordAnswer(other, MemberCommand.Pause(Term(2)), start)
            next(start + 100.milliseconds, 9, held = 2)
            expectThat(next(start + 300.milliseconds, 9, held = 2)).isA<FailoverStep.Promote>()
            failover.recordOrder(candidate, start + 300.milliseconds)
            expectThat(next(start + 400.milliseconds, 9, held = 2)).isNull()
            expectThat(next(start + 500.milliseconds, 12, held = 0))
                .isEqualTo(FailoverStep.Send(mapOf(other to MemberCommand.Pause(Term(2)))))
        }
    }

    /** Soon after a release, discovery still lists the former primary, whose process has ended. */
    @Nested
    inner class `a replica that does not answer` {
        private fun chosen(leaving: Boolean): MemberName? {
            val lost = member(other, 9, start).copy(leaving = leaving, failingSince = start, failures = 2)
            val members = listOf(member(primary, 20, start), member(candidate, 20, start), lost)
            fence.observe(members)
            return fence.choose(members, ObservedReplication(1, point(20)), start)?.name
        }

        @Test
        fun `needs no pause if it leaves`() {
            expectThat(chosen(leaving = true)).isEqualTo(candidate)
        }

        @Test
        fun `may come back without a pause otherwise`() {
            expectThat(chosen(leaving = false)).isNull()
        }
    }

    /** Without a way back, the group would stay without this replica, or without service if no other one receives. */
    @Nested
    inner class `a pause` {
        private val pauses = FailoverStep.Send(mapOf(other to MemberCommand.Pause(Term(2))))
        private val resumptions = FailoverStep.Send(mapOf(other to MemberCommand.Resume))

        @Test
        fun `that a lost VM has left behind is lifted once earlier orders are invalid`() {
            val successor = GroupFailover()
            expectThat(successor.next(group(start, 9, held = 2, leaving = false), start)).isNull()
            val at = start + 1.seconds
            expectThat(
                successor.next(group(at, 9, held = 2, leaving = false), at),
            ).isEqualTo(FailoverStep.Confirm(primary))
            expectThat(successor.next(group(at, 9, held = 2, leaving = false), at)).isNull()
            successor.recordConfirmation()
            expectThat(successor.next(group(at, 9, held = 2, leaving = false), at)).isEqualTo(resumptions)
            successor.recordAnswer(other, MemberCommand.Resume, at)
            expectThat(successor.next(group(at, 20, held = 0, leaving = false), at)).isNull()
        }

        @Test
        fun `is lifted when the lease is lost before an order, and left to the next holder after one`() {
            val failover = GroupFailover()
            expectThat(failover.next(group(start, 9, held = 0, leaving = true), start)).isEqualTo(pauses)
            expectThat(failover.commandsAtLeaseLoss()).isEqualTo(resumptions.commands)
            failover.recordOrder(candidate, start)
            expectThat(failover.commandsAtLeaseLoss()).isEqualTo(emptyMap())
        }

        @Test
        fun `is lifted without an order if its reason is gone`() {
            val failover = GroupFailover()
            expectThat(failover.next(group(start, 9, held = 0, leaving = true), start)).isEqualTo(pauses)
            val at = start + 100.milliseconds
            expectThat(failover.next(group(at, 9, held = 2, leaving = false), at)).isEqualTo(resumptions)
        }
    }

    @Nested
    inner class `a primary that was told to step down` {
        private fun stop() {
            send(start + 2.seconds)
            fence.recordAnswer(primary, MemberCommand.StepDown(Term(2)), start + 2.seconds)
        }

        @Test
        fun `is replaced once it reports that it does not lead`() {
            stop()
            expectThat(chosen(start + 2_100.milliseconds, 12, 12, 9)).isNull()
            expectThat(chosen(start + 2_200.milliseconds, 12, 12, 9, leads = false)).isEqualTo(candidate)
        }

        /** Commits of the primary that no replica has received once kept the candidate from being promoted. */
        @Test
        fun `is replaced by the replica that has most of all, without commits that none has received`() {
            stop()
            expectThat(chosen(start + 2_200.milliseconds, 14, 12, 9, leads = false)).isEqualTo(candidate)
        }

        /** VMs do not wait for a paused candidate; the time in which they learn of a release once included that one. */
        @Test
        fun `is replaced without a fence only when the candidate has reported no pause for long enough`() {
            stop()
            expectThat(chosen(start + 2_500.milliseconds, 12, 12, 9, candidateHeld = 2)).isNull()
            expectThat(chosen(start + 3_100.milliseconds, 12, 12, 9)).isNull()
            expectThat(chosen(start + 5_600.milliseconds, 12, 12, 9)).isEqualTo(candidate)
        }

        @Test
        fun `is promoted again if no replica is known to have received all that it has`() {
            stop()
            val at = start + 2_200.milliseconds
            val unreported = member(other, 9, at).copy(report = null)
            val members = listOf(member(primary, 14, at, leads = false), member(candidate, 12, at), unreported)
            fence.observe(members)
            expectThat(fence.choose(members, ObservedReplication(1), at)).isNull()
            expectThat(fence.choose(members, ObservedReplication(1), at + 3.seconds)?.name).isEqualTo(primary)
        }
    }
}
