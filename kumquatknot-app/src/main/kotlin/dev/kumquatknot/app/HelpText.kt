package dev.kumquatknot.app

/** Help of the program. */
internal object HelpText {
    val overview: String by lazy {
        val stream = checkNotNull(HelpText::class.java.getResourceAsStream("help.txt")) { "resource help.txt" }
        stream.use { it.readBytes().decodeToString().trimEnd() }
    }
}
