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

/** A member that may serve a read, with the longest time to wait there until its data is fresh enough. */
internal data class ReadTarget(val member: MemberName, val catchUpTimeout: Duration)

/** Returns the members that may serve a read, best first; the list may be empty. */
internal typealias PlanRead = (database: DatabaseConfiguration, request: RelayRequest) -> List<ReadTarget>

/** Returns the record of a VM, or null for an unknown VM. */
internal typealias FindVm = (VmName) -> VmRecord?

/**
 * Serves callers' requests: routes each to a member and a VM, retries it where a repetition is safe, and advances the
 * session token. A retry requires that the failed attempt provably did not run or that the work may run twice, and
 * that deadline and retry budget allow another attempt.
 */
internal class EntryService(
    private val configuration: () -> FleetConfiguration,
    private val relay: Relay,
    private val planRead: PlanRead,
    private val findVm: FindVm,
    private val groups: GroupCache,
    private val retries: RetryPolicy,
    private val clock: Clock,
) {
    /** Serves [request] and blocks until its final outcome. */
    fun handle(request: CallerRequest): Either<RequestFailure, CallerReply> {
        val database = configuration().database(request.database) ?: return request.unknownDatabase().left()
        val result = when (val work = request.work) {
            is Work.Read -> executeRead(database, request)
            is Work.Write, Work.Begin, Work.Resolve -> executeAtPrimary(database, request)
            is Work.Run -> executeInTransaction(database, request, work.transaction)
            is Work.Commit -> executeInTransaction(database, request, work.transaction)
            is Work.Rollback -> executeInTransaction(database, request, work.transaction)
        }
        return result.fold({ request.toRequestFailure(it).left() }, { request.toReply(it).right() })
    }

    private fun executeRead(database: DatabaseConfiguration, request: CallerRequest): Either<Failure, ServedAnswer> {
        var last = request.noMember()
        while (true) {
            val term = groups.group(database.name).term
            planRead(database, request.toRelayRequest(database.members.first())).forEach { target ->
                val member = database.members.first { it.name == target.member }
                val relayRequest = request.toRelayRequest(member).copy(catchUpTimeout = target.catchUpTimeout)
                val result = relay.send(member, relayRequest, request.deadline)
                recordMemberResult(database, member, result)
                last = result.fold({ it }, { return served(member, it) })
                if (!last.isRetryable) return last.left()
            }
            if (!retries.awaitRetry(database.name, term, request)) return last.left()
        }
    }

    private fun executeAtPrimary(
        database: DatabaseConfiguration,
        request: CallerRequest,
    ): Either<Failure, ServedAnswer> {
        var outcomeKnown = true
        while (true) {
            val cached = groups.group(database.name)
            val member = database.members.firstOrNull { it.name == cached.primary } ?: database.members.first()
            val relayRequest = request.toRelayRequest(member)
            val result = relay.send(member, relayRequest, request.deadline)
            val failure = result.fold({ it }, { return served(member, it) })
            if (failure.effect == Effect.UNKNOWN) outcomeKnown = false
            val final = if (outcomeKnown) failure else failure.copy(effect = Effect.UNKNOWN)
            if (!failure.isRetryable || !(failure.effect == Effect.NOT_RUN || relayRequest.isRepeatable)) {
                return final.left()
            }
            if (primaryHasChanged(database, member)) continue
            if (!retries.awaitRetry(database.name, cached.term, request)) return final.left()
        }
    }

    private fun executeInTransaction(
        database: DatabaseConfiguration,
        request: CallerRequest,
        handle: TransactionHandle,
    ): Either<Failure, ServedAnswer> {
        val primary = groups.group(database.name).primary
        val member = database.members.firstOrNull { it.name == primary } ?: database.members.first()
        val vm = findVm(handle.vm)
        if (vm == null && request.work is Work.Commit && request.key != null) {
            return executeAtPrimary(database, request.copy(work = Work.Resolve))
        }
        val result = if (vm == null) {
            request.transactionHolderGone(handle).left()
        } else {
            relay.sendTo(vm, request.toRelayRequest(member), request.deadline)
        }
        return result.mapLeft { request.withEarlierCommitEffect(it) }.flatMap { served(member, it) }
    }

    /**
     * Reports an unknown effect where the session has sent a commit before: that this VM was not reached doesn't prove
     * that the earlier commit did not run.
     */
    private fun CallerRequest.withEarlierCommitEffect(failure: Failure): Failure {
        val sentBefore = work is Work.Commit && database in token.unresolved
        val unproved = sentBefore && failure.step in setOf(Step.ROUTE, Step.RELAY)
        return if (unproved) failure.copy(effect = Effect.UNKNOWN) else failure
    }

    /** Whether another primary than [queried] is known by now, so that the retry needs no pause. */
    private fun primaryHasChanged(database: DatabaseConfiguration, queried: MemberConfiguration): Boolean {
        val primary = groups.group(database.name).primary
        return primary != null && primary != queried.name
    }

    private fun recordMemberResult(
        database: DatabaseConfiguration,
        member: MemberConfiguration,
        result: Either<Failure, RelayedAnswer>,
    ) = result.fold(
        { if (it.reason in memberFailureReasons) groups.recordFailure(database.name, member.name) },
        { groups.recordSuccess(database.name, member.name) },
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
        val requestedAge = (work as? Work.Read)?.maximumAge
        val configured = kind.maximumAgeMillis?.milliseconds
        return listOfNotNull(requestedAge, configured).minOrNull()
    }

    private fun CallerRequest.toReply(served: ServedAnswer): CallerReply {
        val answer = served.answer
        val advanced = token.advancedTo(database, answer.point)
        return CallerReply(
            results = answer.results,
            token = if (work.resolvesEarlierWrites) advanced.withResolved(database) else advanced,
            servedBy = served.member.name,
            role = answer.role,
            repeated = answer.repeated,
            transaction = answer.transaction?.let { TransactionHandle(served.vm, it) },
        )
    }

    private fun CallerRequest.toRequestFailure(failure: Failure): RequestFailure {
        val changes = work is Work.Write || work is Work.Commit
        val nextToken: SessionToken = if (changes &&
            failure.effect == Effect.UNKNOWN
        ) {
            token.withUnresolved(database)
        } else {
            token
        }
        return RequestFailure(failure, nextToken)
    }

    /** Whether completing this work determines the outcome of the session's earlier writes. */
    private val Work.resolvesEarlierWrites: Boolean
        get() = this is Work.Write || this is Work.Commit || this is Work.Resolve

    private val Failure.isRetryable: Boolean get() = reason in retryableReasons

    private fun CallerRequest.unknownDatabase() =
        RequestFailure(routeFailure(FailureReason.INVALID_REQUEST, "database $database is not configured"), token)

    private fun CallerRequest.noMember() =
        routeFailure(FailureReason.NOT_FRESH_ENOUGH, "no member of $database is known to be fresh enough")

    private fun CallerRequest.transactionHolderGone(handle: TransactionHandle) = routeFailure(
        FailureReason.TRANSACTION_ENDED,
        "VM ${handle.vm}, which held the transaction, is gone; the transaction was rolled back",
    )

    private fun routeFailure(reason: FailureReason, detail: String) =
        Failure(reason, Effect.NOT_RUN, Step.ROUTE, Peer.Local, detail)

    private fun served(member: MemberConfiguration, relayed: RelayedAnswer): Either<Failure, ServedAnswer> {
        retries.recordSuccess()
        return ServedAnswer(member, relayed.vm, relayed.answer).right()
    }

    private class ServedAnswer(val member: MemberConfiguration, val vm: VmName, val answer: RelayAnswer)

    private companion object {
        val memberFailureReasons = setOf(FailureReason.CONNECTION_REFUSED, FailureReason.CONNECTION_LOST)

        val retryableReasons = memberFailureReasons + setOf(
            FailureReason.NO_PRIMARY,
            FailureReason.NOT_FRESH_ENOUGH,
            FailureReason.SUPERSEDED,
            FailureReason.UNCONFIRMED,
            FailureReason.VM_UNREACHABLE,
            FailureReason.SHUTTING_DOWN,
        )
    }
}
