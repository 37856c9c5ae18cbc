package dev.kumquatknot.app

/** The text that `kumquatknot help` prints, read from the resource help.txt. */
internal object HelpText {
    val overview: String by lazy {
        val stream = checkNotNull(HelpText::class.java.getResourceAsStream("help.txt")) { "help.txt is missing" }
        stream.use { it.readBytes().decodeToString().trimEnd() }
    }
}
