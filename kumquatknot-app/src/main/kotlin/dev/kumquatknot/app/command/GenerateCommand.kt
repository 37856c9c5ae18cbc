package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.operations.configuration.ConfigurationCodec
import dev.kumquatknot.operations.questionnaire.ConfigurationGenerator
import kotlinx.cli.ArgType
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.writeText

/** Generates the configuration from a folder with answers. The output is byte-identical for the same answers. */
internal class GenerateCommand(private val console: Console) :
    Command("generate", "Generate the configuration from a folder with answers") {
    private val folder by argument(ArgType.String, "answers", "Folder with fleet.json and teams/")
    private val outputFile by option(ArgType.String, "output", "o", "File to write instead of standard output")

    override fun run(): ExitCode =
        console.withAnswers(folder) { answers ->
            val text = ConfigurationCodec.encodeReadable(ConfigurationGenerator.generate(answers))
            outputFile?.let { write(it, text) } ?: ExitCode.OK.also { console.out(text.trimEnd()) }
        }

    private fun write(file: String, text: String): ExitCode =
        try {
            Path.of(file).writeText(text)
            ExitCode.OK
        } catch (error: IOException) {
            console.reportError("write, local: $file cannot be written: $error")
            ExitCode.FAILED
        }
}
