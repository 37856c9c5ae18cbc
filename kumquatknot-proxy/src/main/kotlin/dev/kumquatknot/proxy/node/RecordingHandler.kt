package dev.kumquatknot.proxy.node

import arrow.core.Either
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.request.CallerReply
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.HandleRequest
import dev.kumquatknot.core.request.RequestFailure
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.operations.today.DayRecorder

/** Records the outcome of each request for the page of the current day. */
internal class RecordingHandler(
    private val handle: HandleRequest,
    private val recorder: DayRecorder,
    private val clock: Clock,
) {
    /** Serves [request] and records its outcome and duration. */
    fun handle(request: CallerRequest): Either<RequestFailure, CallerReply> {
        val startedAt = clock.elapsed()
        return handle.invoke(request)
            .onRight { recorder.recordCompletion(request, it, clock.elapsed() - startedAt) }
            .onLeft { record(request, it) }
    }

    private fun record(request: CallerRequest, failed: RequestFailure) {
        val abandoned = failed.failure.reason == FailureReason.ABANDONED
        if (abandoned) recorder.recordResolvedAsNotRun(request) else recorder.recordFailure(request, failed.failure)
    }
}
