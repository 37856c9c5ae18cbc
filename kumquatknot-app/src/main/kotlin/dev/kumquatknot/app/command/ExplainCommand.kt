package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.operations.explain.LogLine
import dev.kumquatknot.operations.explain.RequestTimeline
import dev.kumquatknot.operations.explain.TimelineLine
import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import java.io.File
import java.io.IOException

/** Prints from the logs of several VMs what happened to one request and what the VMs had observed at the time. */
internal class ExplainCommand(private val console: Console) :
    Command("explain", "Tell from the nodes' logs what happened to one request") {
    private val requestId by argument(ArgType.String, "request", "Id of the request")
    private val logFiles by argument(ArgType.String, "logs", "Log files, one a VM").vararg()

    override fun run(): ExitCode {
        val logs = logFiles.flatMap { file -> readLog(file) ?: return ExitCode.BAD_DATA }
        val explanation = RequestTimeline.of(requestId, logs)
        if (explanation == null) {
            console.reportError(
                "search, local: no line of ${logFiles.size} logs with ${logs.size} events names request $requestId",
            )
            return ExitCode.FAILED
        }
        explanation.lines.forEach { console.out(describe(it)) }
        return ExitCode.OK
    }

    private fun readLog(file: String): List<LogLine>? = try {
        File(file).useLines { lines -> lines.mapNotNull { LogLine.parse(file, it) }.toList() }
    } catch (failure: IOException) {
        console.reportError("read, local: $file cannot be read: ${failure.message}")
        null
    }

    private fun describe(entry: TimelineLine): String {
        val fields = entry.line.fields.filterKeys { it != "request" }.map { (name, value) -> "$name=$value" }
        val role = entry.role.name.lowercase().padEnd(ROLE_WIDTH)
        return "${entry.line.at} $role ${entry.line.source} ${entry.line.event} ${fields.joinToString(" ")}".trim()
    }

    private companion object {
        const val ROLE_WIDTH = 9
    }
}
