package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.operations.questionnaire.AnswerFolder
import dev.kumquatknot.operations.questionnaire.Answers
import java.nio.file.Path

/** Reads the questionnaire answers in [folder] and passes them to [use]; reports the problems of invalid answers. */
internal fun Console.withAnswers(folder: String, use: (Answers) -> ExitCode): ExitCode =
    AnswerFolder(Path.of(folder)).read().fold(
        { problems ->
            reportError(problems)
            ExitCode.BAD_DATA
        },
        use,
    )
