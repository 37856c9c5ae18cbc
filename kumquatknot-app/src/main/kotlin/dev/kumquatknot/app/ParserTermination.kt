package dev.kumquatknot.app

import kotlinx.cli.ArgParser

/**
 * Makes a parser throw [TerminationException] where kotlinx-cli would print to standard output and end the process
 * with its own exit code. The hook for this is internal to kotlinx-cli and is therefore set by reflection.
 */
internal object ParserTermination {
    /** Thrown when the parser ends the program; [text] is the help text or the error message. */
    class TerminationException(val text: String, val isError: Boolean) : RuntimeException(text)

    fun throwOnTermination(parser: ArgParser) {
        val setter = ArgParser::class.java.methods.single { it.name.startsWith("setOutputAndTerminate") }
        val terminate: (String, Int) -> Nothing = { text, exitCode -> throw TerminationException(text, exitCode != 0) }
        setter.invoke(parser, terminate)
    }
}
