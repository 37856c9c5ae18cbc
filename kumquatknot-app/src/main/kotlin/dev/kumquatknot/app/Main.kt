package dev.kumquatknot.app

import kotlin.system.exitProcess

/** Entry point of the `kumquatknot` program. */
public fun main(arguments: Array<String>) {
    val console = Console(out = ::println, error = System.err::println)
    exitProcess(CommandLine(console).run(arguments.toList()).number)
}
