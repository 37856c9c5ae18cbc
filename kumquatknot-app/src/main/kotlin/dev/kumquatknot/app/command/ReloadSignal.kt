package dev.kumquatknot.app.command

import sun.misc.Signal

/** Handles SIGHUP as a request to reload the settings; without a handler the signal ends the JVM. */
internal object ReloadSignal {
    /** Calls [action] on each SIGHUP; the returned function restores the previous handler. */
    fun install(action: () -> Unit): () -> Unit {
        val signal = Signal("HUP")
        val previousHandler = Signal.handle(signal) { action() }
        return { Signal.handle(signal, previousHandler) }
    }
}
