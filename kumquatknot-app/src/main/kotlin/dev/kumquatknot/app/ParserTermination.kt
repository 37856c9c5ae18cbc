package dev.kumquatknot.app

import kotlinx.cli.ArgParser

/**
 * Makes a parser throw [Requested] where kotlinx-cli would print to standard output and end the process with its own
 * exit code. The hook that kotlinx-cli has for this is internal to it, hence the reflection.
 */
internal object ParserTermination {
    /** The parser has nothing more to do; [text] is help or an error. */
    class Requested(val text: String, val isError: Boolean) : RuntimeException(text)

    fun throwInstead(parser: ArgParser) {
        val setter = ArgParser::class.java.methods.single { it.name.startsWith("setOutputAndTerminate") }
        val terminate: (String, Int) -> Nothing = { text, exitCode -> throw Requested(text, exitCode != 0) }
        setter.invoke(parser, terminate)
    }
}
