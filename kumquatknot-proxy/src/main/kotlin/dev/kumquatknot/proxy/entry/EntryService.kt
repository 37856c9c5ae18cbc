package dev.kumquatknot.proxy.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.RequestFailure
import dev.kumquatknot.core.request.TransactionHandle
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.session.SessionToken
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.relay.ReadNeeds
import dev.kumquatknot.proxy.relay.RelayAnswer
import dev.kumquatknot.proxy.relay.RelayRequest
import dev.kumquatknot.proxy.work.isRepeatable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One place at which a read may be served, with the longest time to wait there for fresh data. */
internal data class ReadTarget(val member: MemberName, val catchUpTimeout: Duration)

/** Orders the members at which a read may be served, best first; the list may be empty. */
internal typealias PlanRead = (database: DatabaseConfiguration, request: RelayRequest) -> List<ReadTarget>

/** Returns the record of a VM, or null where it is not known. */
internal typealias FindVm = (VmName) -> VmRecord?

/**
 * Serves callers' requests: finds the member and the VM to send each to, sends it again where that does no harm, and
 * keeps the session's token. A retry needs a proof that nothing ran or work that may run twice, time, and budget.
 */
internal class EntryService(
    private val configuration: () -> FleetConfiguration,
    private val relay: Relay,
    private val planRead: PlanRead,
    private val findVm: FindVm,
    private val groups: GroupTable,
    private val retries: RetryPolicy,
    private val clock: Clock,
) {
    /** Serves [request] and blocks until its final outcome. */
    fun handle(request: CallerRequest): Either<RequestFailure, CallerReply> {
        val database = configuration().database(request.database) ?: return request.unknownDatabase().left()
        val result = when (val work = request.work) {
            is Work.Read -> read(database, request)
            is Work.Write, Work.Begin, Work.Resolve -> atPrimary(database, request)
            is Work.Run -> inTransaction(database, request, work.transaction)
            is Work.Commit -> inTransaction(database, request, work.transaction)
            is Work.Rollback -> inTransaction(database, request, work.transaction)
        }
        return result.fold({ request.failed(it).left() }, { request.completed(it).right() })
    }

    private fun read(database: DatabaseConfiguration, request: CallerRequest): Either<Failure, Served> {
        var last = request.noMember()
        while (true) {
            val term = groups.group(database.name).term
            planRead(database, request.toRelayRequest(database.members.first())).forEach { target ->
                val member = database.members.first { it.name == target.member }
                val relayed = request.toRelayRequest(member).copy(catchUpTimeout = target.catchUpTimeout)
                val result = relay.send(member, relayed, request.deadline)
                note(database, member, result)
                last = result.fold({ it }, { return served(member, it) })
                if (!last.mayTryElsewhere) return last.left()
            }
            if (!retries.awaitRetry(database.name, term, request)) return last.left()
        }
    }

    private fun atPrimary(database: DatabaseConfiguration, request: CallerRequest): Either<Failure, Served> {
        var outcomeKnown = true
        while (true) {
            val known = groups.group(database.name)
            val member = database.members.firstOrNull { it.name == known.primary } ?: database.members.first()
            val relayed = request.toRelayRequest(member)
            val result = relay.send(member, relayed, request.deadline)
            val failure = result.fold({ it }, { return served(member, it) })
            if (failure.effect == Effect.UNKNOWN) outcomeKnown = false
            val final = if (outcomeKnown) failure else failure.copy(effect = Effect.UNKNOWN)
            if (!failure.mayTryElsewhere || !(failure.effect == Effect.NOT_RUN || relayed.isRepeatable)) {
                return final.left()
            }
            if (learnedPrimary(database, member)) continue
            if (!retries.awaitRetry(database.name, known.term, request)) return final.left()
        }
    }

    private fun inTransaction(
        database: DatabaseConfiguration,
        request: CallerRequest,
        handle: TransactionHandle,
    ): Either<Failure, Served> {
        val primary = groups.group(database.name).primary
        val member = database.members.firstOrNull { it.name == primary } ?: database.members.first()
        val vm = findVm(handle.vm)
        if (vm == null && request.work is Work.Commit && request.key != null) {
            return atPrimary(database, request.copy(work = Work.Resolve))
        }
        val result = if (vm == null) {
            request.holderGone(handle).left()
        } else {
            relay.sendTo(vm, request.toRelayRequest(member), request.deadline)
        }
        return result.mapLeft { request.afterEarlierCommit(it) }.flatMap { served(member, it) }
    }

    /** A VM that was not reached proves nothing about a commit that the session has sent before. */
    private fun CallerRequest.afterEarlierCommit(failure: Failure): Failure {
        val sentBefore = work is Work.Commit && database in token.unresolved
        val unproved = sentBefore && failure.step in setOf(Step.ROUTE, Step.RELAY)
        return if (unproved) failure.copy(effect = Effect.UNKNOWN) else failure
    }

    /** Whether the last answer named another primary than [asked], so that no pause is needed. */
    private fun learnedPrimary(database: DatabaseConfiguration, asked: MemberConfiguration): Boolean {
        val primary = groups.group(database.name).primary
        return primary != null && primary != asked.name
    }

    private fun note(
        database: DatabaseConfiguration,
        member: MemberConfiguration,
        result: Either<Failure, Relayed>,
    ) = result.fold(
        { if (it.reason in memberFailures) groups.failed(database.name, member.name) },
        { groups.succeeded(database.name, member.name) },
    )

    private fun CallerRequest.toRelayRequest(member: MemberConfiguration) = RelayRequest(
        id = id,
        team = team,
        kind = kind,
        database = database,
        member = member.name,
        needs = ReadNeeds(
            required = token.pointOf(database),
            maximumAge = maximumAge(),
            requiresConfirmedPrimary = database in token.unresolved,
        ),
        work = work,
        key = key,
        remaining = deadline - clock.elapsed(),
        catchUpTimeout = Duration.ZERO,
    )

    private fun CallerRequest.maximumAge(): Duration? {
        val asked = (work as? Work.Read)?.maximumAge
        val configured = kind.maximumAgeMillis?.milliseconds
        return listOfNotNull(asked, configured).minOrNull()
    }

    private fun CallerRequest.completed(served: Served): CallerReply {
        val answer = served.answer
        val advanced = token.advancedTo(database, answer.point)
        return CallerReply(
            results = answer.results,
            token = if (work.settlesSession) advanced.withResolved(database) else advanced,
            servedBy = served.member.name,
            role = answer.role,
            repeated = answer.repeated,
            transaction = answer.transaction?.let { TransactionHandle(served.vm, it) },
        )
    }

    private fun CallerRequest.failed(failure: Failure): RequestFailure {
        val changes = work is Work.Write || work is Work.Commit
        val next: SessionToken = if (changes &&
            failure.effect == Effect.UNKNOWN
        ) {
            token.withUnresolved(database)
        } else {
            token
        }
        return RequestFailure(failure, next)
    }

    /** Whether the completed work makes the outcome of the session's earlier writes known. */
    private val Work.settlesSession: Boolean
        get() = this is Work.Write || this is Work.Commit || this is Work.Resolve

    private val Failure.mayTryElsewhere: Boolean get() = reason in retriedReasons

    private fun CallerRequest.unknownDatabase() =
        RequestFailure(routeFailure(FailureReason.INVALID_REQUEST, "database $database is not configured"), token)

    private fun CallerRequest.noMember() =
        routeFailure(FailureReason.NOT_FRESH_ENOUGH, "no member of $database is known to be fresh enough")

    private fun CallerRequest.holderGone(handle: TransactionHandle) = routeFailure(
        FailureReason.TRANSACTION_ENDED,
        "VM ${handle.vm}, which held the transaction, is gone; the transaction was rolled back",
    )

    private fun routeFailure(reason: FailureReason, detail: String) =
        Failure(reason, Effect.NOT_RUN, Step.ROUTE, Peer.Local, detail)

    private fun served(member: MemberConfiguration, relayed: Relayed): Either<Failure, Served> {
        retries.recordSuccess()
        return Served(member, relayed.vm, relayed.answer).right()
    }

    private class Served(val member: MemberConfiguration, val vm: VmName, val answer: RelayAnswer)

    private companion object {
        val memberFailures = setOf(FailureReason.CONNECTION_REFUSED, FailureReason.CONNECTION_LOST)

        val retriedReasons = memberFailures + setOf(
            FailureReason.NO_PRIMARY,
            FailureReason.NOT_FRESH_ENOUGH,
            FailureReason.SUPERSEDED,
            FailureReason.UNCONFIRMED,
            FailureReason.VM_UNREACHABLE,
            FailureReason.SHUTTING_DOWN,
        )
    }
}
