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

/** Tells from the logs of several VMs what happened to one request, and what was believed at the time. */
internal class ExplainCommand(private val console: Console) :
    Command("explain", "Tell from the nodes' logs what happened to one request") {
    private val request by argument(ArgType.String, "request", "Id of the request")
    private val files by argument(ArgType.String, "logs", "Log files, one a VM").vararg()

    override fun run(): ExitCode {
        val logs = files.flatMap { file -> read(file) ?: return ExitCode.BAD_DATA }
        val story = RequestTimeline.of(request, logs)
        if (story == null) {
            console.fail("search, local: no line of ${files.size} logs with ${logs.size} events names request $request")
            return ExitCode.FAILED
        }
        story.lines.forEach { console.out(describe(it)) }
        return ExitCode.OK
    }

    private fun read(file: String): List<LogLine>? = try {
        File(file).useLines { lines -> lines.mapNotNull { LogLine.parse(file, it) }.toList() }
    } catch (failure: IOException) {
        console.fail("read, local: $file cannot be read: ${failure.message}")
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
