package dev.kumquatknot.app.demo

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.time.SystemClock
import dev.kumquatknot.operations.today.CheckFigures
import dev.kumquatknot.operations.today.DayRecorder
import dev.kumquatknot.operations.today.DayReport
import dev.kumquatknot.operations.today.KindIdentity
import dev.kumquatknot.operations.today.SummaryStore
import dev.kumquatknot.operations.today.TerminalPage
import dev.kumquatknot.operations.today.TodayPage
import dev.kumquatknot.operations.today.Verdict
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Durations of the phases of the demo.
 *
 * @property loadDuration time for which callers send requests; a primary stops after a third of it and restarts after
 *   two thirds.
 * @property pageServingTime time for which the pages are served at the end.
 */
public data class DemoSettings(val loadDuration: Duration = 15.seconds, val pageServingTime: Duration = 0.seconds)

/**
 * Runs two example deployments in one process on loopback, each with a platform, three database groups and three nodes.
 * Callers of all teams send requests during one failover; a check then reads back all acknowledged writes, and the demo
 * prints today's page.
 */
public class Demo(private val settings: DemoSettings, private val console: Console) {
    /** Runs the demo; fails if a write was lost or ran twice, a read was stale, or an outcome remained unknown. */
    public fun run(): ExitCode {
        val deployments = DemoAnswers.teamFilesByExample.keys.map(::DemoDeployment)
        return try {
            deployments.forEach { it.start() }
            val promisesKept = runDeployments(deployments)
            if (promisesKept) ExitCode.OK else ExitCode.FAILED
        } finally {
            deployments.forEach { it.close() }
        }
    }

    private fun runDeployments(deployments: List<DemoDeployment>): Boolean {
        deployments.forEach { console.out("${it.name}: 3 nodes, ${it.configuration.databases.size} database groups") }
        Thread.sleep(STARTUP_WAIT.inWholeMilliseconds)
        val callersByDeployment = deployments.associateWith(::callersOf)
        runLoad(callersByDeployment)
        callersByDeployment.forEach { (deployment, callers) -> storeCheckResults(deployment, callers) }
        Thread.sleep(SUMMARY_WAIT.inWholeMilliseconds)
        val reports = deployments.associateWith(::reportOn)
        reports.forEach { (deployment, report) -> printReport(deployment, report) }
        Thread.sleep(settings.pageServingTime.inWholeMilliseconds)
        return reports.values.all(::mandatoryPromisesKept)
    }

    private fun callersOf(deployment: DemoDeployment): List<DemoCaller> =
        deployment.configuration.teams.flatMap { team ->
            List(CALLERS_PER_TEAM) { DemoCaller("${team.name}-$it", team, deployment.entryAddresses) }
        }

    private fun runLoad(callersByDeployment: Map<DemoDeployment, List<DemoCaller>>) {
        val allCallers = callersByDeployment.values.flatten()
        val pool = Executors.newFixedThreadPool(allCallers.size)
        val tasks = allCallers.map { caller -> pool.submit(Callable { caller.sendRequests(settings.loadDuration) }) }
        Thread.sleep(settings.loadDuration.inWholeMilliseconds / LOAD_PHASES)
        val deployment = callersByDeployment.keys.first()
        val database = deployment.configuration.databases.first().name
        val stoppedMember = deployment.stopPrimary(database)
        console.out("${deployment.name}: $stoppedMember, the primary of $database, has stopped")
        Thread.sleep(settings.loadDuration.inWholeMilliseconds / LOAD_PHASES)
        deployment.startMember(database, stoppedMember)
        console.out("${deployment.name}: $stoppedMember is back")
        tasks.forEach { it.get() }
        pool.shutdown()
        console.out(
            "${allCallers.sumOf { it.requests }} requests of ${allCallers.size} callers; " +
                "reading back what was acknowledged",
        )
    }

    /** Stores the results of the checks in the deployment's summaries, under the VM name [checkerVm]. */
    private fun storeCheckResults(deployment: DemoDeployment, callers: List<DemoCaller>) {
        val recorder = DayRecorder(checkerVm, SystemClock)
        val results = callers.flatMap { it.checkWrites().entries }
        results.forEach { (identity: KindIdentity, figures: CheckFigures) -> recorder.recordChecks(identity, figures) }
        val store = SummaryStore(deployment.store)
        recorder.summaries().forEach { store.write(it) }
    }

    private fun reportOn(deployment: DemoDeployment): DayReport =
        TodayPage(SummaryStore(deployment.store), null, SystemClock, { deployment.configuration }) {
            deployment.vms + checkerVm
        }.report()

    private fun printReport(deployment: DemoDeployment, report: DayReport) {
        console.out("")
        console.out("== ${deployment.name} ==")
        console.out(TerminalPage.render(report).trimEnd())
        console.out("")
        console.out("In the browser, while the demo runs: ${deployment.pageAddresses.joinToString(" ")}")
    }

    /** Missed goals are shown but not counted, because one failover weighs heavily in the figures of a short day. */
    private fun mandatoryPromisesKept(report: DayReport): Boolean =
        report.promises.filter { it.unconditional }.all { it.verdict == Verdict.GOOD || it.verdict == Verdict.NONE }

    private companion object {
        const val CALLERS_PER_TEAM = 2
        const val LOAD_PHASES = 3
        val checkerVm = VmName("demo-check")
        val STARTUP_WAIT = 2.seconds
        val SUMMARY_WAIT = 6.seconds
    }
}
