package dev.kumquatknot.proxy.adapter.jdbc

import arrow.core.Either
import arrow.core.left
import java.sql.SQLException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration

/** Failure of a blocking JDBC call. */
internal sealed interface BlockingFailure {
    class Sql(val exception: SQLException) : BlockingFailure

    data object TimedOut : BlockingFailure
}

/** Runs [action] on [executor] and waits at most [timeout]; a result after that is passed to [onLateResult]. */
internal fun <T : Any> callBlocking(
    executor: Executor,
    timeout: Duration,
    onLateResult: (T) -> Unit = {},
    action: () -> T,
): Either<BlockingFailure, T> {
    val result = CompletableFuture<Either<BlockingFailure, T>>()
    executor.execute { result.complete(catchSqlException(action)) }
    return try {
        result.get(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    } catch (_: TimeoutException) {
        result.thenAccept { late -> late.onRight(onLateResult) }
        BlockingFailure.TimedOut.left()
    } catch (failure: ExecutionException) {
        throw failure.cause ?: failure
    }
}

private fun <T> catchSqlException(action: () -> T): Either<BlockingFailure, T> =
    Either.catchOrThrow<SQLException, T>(action).mapLeft { BlockingFailure.Sql(it) }
