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
 * How long the demo works and stays.
 *
 * @property load time for which callers work; a primary stops after a third of it and comes back after two thirds.
 * @property stay time for which the pages stay at the end.
 */
public data class DemoSettings(val load: Duration = 15.seconds, val stay: Duration = 0.seconds)

/**
 * Shows the whole path in one process on loopback: for each of the two example deployments a platform, three database
 * groups and three nodes; callers of all teams; one failover; a check that reads back all acknowledged work; and
 * today's page.
 */
public class Demo(private val settings: DemoSettings, private val console: Console) {
    /** Runs the demo; fails when work was lost or doubled, a read was stale, or an outcome stayed unknown. */
    public fun run(): ExitCode {
        val deployments = DemoAnswers.examples.keys.map(::DemoDeployment)
        return try {
            deployments.forEach { it.start() }
            val kept = run(deployments)
            if (kept) ExitCode.OK else ExitCode.FAILED
        } finally {
            deployments.forEach { it.close() }
        }
    }

    private fun run(deployments: List<DemoDeployment>): Boolean {
        deployments.forEach { console.out("${it.name}: 3 nodes, ${it.configuration.databases.size} database groups") }
        Thread.sleep(SETTLING.inWholeMilliseconds)
        val callers = deployments.associateWith(::callersOf)
        work(callers)
        callers.forEach { (deployment, own) -> publish(deployment, own) }
        Thread.sleep(SUMMARY_TIME.inWholeMilliseconds)
        val reports = deployments.associateWith(::reportOn)
        reports.forEach { (deployment, report) -> show(deployment, report) }
        Thread.sleep(settings.stay.inWholeMilliseconds)
        return reports.values.all(::isKept)
    }

    private fun callersOf(deployment: DemoDeployment): List<DemoCaller> =
        deployment.configuration.teams.flatMap { team ->
            List(CALLERS_PER_TEAM) { DemoCaller("${team.name}-$it", team, deployment.entries) }
        }

    private fun work(callers: Map<DemoDeployment, List<DemoCaller>>) {
        val all = callers.values.flatten()
        val pool = Executors.newFixedThreadPool(all.size)
        val running = all.map { caller -> pool.submit(Callable { caller.work(settings.load) }) }
        Thread.sleep(settings.load.inWholeMilliseconds / FAILOVER_PARTS)
        val stopped = callers.keys.first()
        val database = stopped.configuration.databases.first().name
        val member = stopped.stopPrimary(database)
        console.out("${stopped.name}: $member, the primary of $database, has stopped")
        Thread.sleep(settings.load.inWholeMilliseconds / FAILOVER_PARTS)
        stopped.startMember(database, member)
        console.out("${stopped.name}: $member is back")
        running.forEach { it.get() }
        pool.shutdown()
        console.out("${all.sumOf { it.requests }} requests of ${all.size} callers; reading back what was acknowledged")
    }

    /** Adds the results of the checks to the deployment's figures, as a source of their own. */
    private fun publish(deployment: DemoDeployment, callers: List<DemoCaller>) {
        val recorder = DayRecorder(checker, SystemClock)
        val results = callers.flatMap { it.check().entries }
        results.forEach { (identity: KindIdentity, figures: CheckFigures) -> recorder.recordChecks(identity, figures) }
        val store = SummaryStore(deployment.store)
        recorder.summaries().forEach { store.write(it) }
    }

    private fun reportOn(deployment: DemoDeployment): DayReport =
        TodayPage(SummaryStore(deployment.store), null, SystemClock, { deployment.configuration }) {
            deployment.vms + checker
        }.report()

    private fun show(deployment: DemoDeployment, report: DayReport) {
        console.out("")
        console.out("== ${deployment.name} ==")
        console.out(TerminalPage.render(report).trimEnd())
        console.out("")
        console.out("In the browser, while the demo runs: ${deployment.pages.joinToString(" ")}")
    }

    /** A short day weighs one failover heavily, so that a missed goal is shown but does not count. */
    private fun isKept(report: DayReport): Boolean =
        report.promises.filter { it.unconditional }.all { it.verdict == Verdict.GOOD || it.verdict == Verdict.NONE }

    private companion object {
        const val CALLERS_PER_TEAM = 2
        const val FAILOVER_PARTS = 3
        val checker = VmName("demo-check")
        val SETTLING = 2.seconds
        val SUMMARY_TIME = 6.seconds
    }
}
