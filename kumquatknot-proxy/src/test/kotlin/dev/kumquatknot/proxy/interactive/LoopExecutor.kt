package dev.kumquatknot.proxy.interactive

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Runs the tasks of one VM on virtual time until it is lost, in place of the thread that its store calls block. */
internal class LoopExecutor(private val loop: VirtualLoop, private val isLost: () -> Boolean) :
    ScheduledExecutorService by Executors.newSingleThreadScheduledExecutor() {
    override fun execute(command: Runnable) = command.run()

    override fun schedule(command: Runnable, delay: Long, unit: TimeUnit): ScheduledFuture<*> {
        loop.schedule(unit.toMillis(delay).milliseconds) { if (!isLost()) command.run() }
        return ManualExecutor.IdleFuture
    }
}
