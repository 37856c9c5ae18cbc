package dev.kumquatknot.app.command

import sun.misc.Signal

/** SIGHUP as a request to read the settings again; without a handler the JVM ends on it. */
internal object ReloadSignal {
    /** Calls [action] for each signal from now on and returns what restores the former handling. */
    fun install(action: () -> Unit): () -> Unit {
        val signal = Signal("HUP")
        val former = Signal.handle(signal) { action() }
        return { Signal.handle(signal, former) }
    }
}
