package dev.kumquatknot.app

/** Entry point of the `kumquatknot` program. */
public fun main() {
    println("kumquatknot 0.1.0")
}
