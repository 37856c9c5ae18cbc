package dev.kumquatknot.app.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.raise.either
import arrow.core.right
import dev.kumquatknot.app.ConnectPlatform
import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.VmState
import dev.kumquatknot.core.time.SystemClock
import dev.kumquatknot.operations.configuration.ConfigurationCodec
import dev.kumquatknot.operations.today.DayReport
import dev.kumquatknot.operations.today.SummaryStore
import dev.kumquatknot.operations.today.TerminalPage
import dev.kumquatknot.operations.today.TodayPage
import dev.kumquatknot.operations.today.Verdict
import kotlinx.cli.ArgType
import kotlinx.cli.required

/** Prints today's page from the summaries that are stored in the platform's object API. */
internal class StatusCommand(private val console: Console, private val connect: ConnectPlatform) :
    Command("status", "Print today's page") {
    private val platform by option(ArgType.String, "platform", "p", "Address of the platform's object API").required()

    override fun run(): ExitCode =
        readReport(connect(platform)).fold(
            { detail ->
                console.reportError(detail)
                ExitCode.UNAVAILABLE
            },
            { (configuration, report) ->
                console.out(TerminalPage.render(report))
                console.out("configuration ${configuration.number} is in force")
                exitCodeOf(report.verdict)
            },
        )

    private fun readReport(store: ObjectStore): Either<String, Pair<FleetConfiguration, DayReport>> =
        either {
            val configuration = readConfiguration(store).bind()
            val vms = store.vms().mapLeft(::describe).bind()
            val liveVms = vms.filter { it.state == VmState.LIVE }.map { it.name }.toSet()
            val page = TodayPage(SummaryStore(store), own = null, SystemClock, { configuration }, { liveVms })
            configuration to page.report()
        }

    private fun readConfiguration(store: ObjectStore): Either<String, FleetConfiguration> =
        store.read(FleetConfiguration.STORE_KEY).mapLeft(::describe).flatMap { stored ->
            stored?.let { ConfigurationCodec.decode(it.value).mapLeft { detail -> "read, platform: $detail" } }
                ?: FleetConfiguration.EMPTY.right()
        }

    private fun describe(failure: StoreFailure): String =
        when (failure) {
            is StoreFailure.Conflict -> "read, platform: unexpected conflict"
            is StoreFailure.Refused -> "read, platform: ${failure.detail}"
            is StoreFailure.NoAnswer -> "read, platform: ${failure.detail}"
        }

    private fun exitCodeOf(verdict: Verdict): ExitCode =
        when (verdict) {
            Verdict.GOOD, Verdict.NONE -> ExitCode.OK
            Verdict.BAD -> ExitCode.FAILED
            Verdict.UNSURE -> ExitCode.UNDECIDED
        }
}
