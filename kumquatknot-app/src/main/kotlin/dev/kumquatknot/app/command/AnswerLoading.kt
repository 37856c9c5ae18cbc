package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.operations.questionnaire.AnswerFolder
import dev.kumquatknot.operations.questionnaire.Answers
import java.nio.file.Path

/** Reads the answers in [folder] and passes them to [use], or reports their problems. */
internal fun Console.withAnswers(folder: String, use: (Answers) -> ExitCode): ExitCode =
    AnswerFolder(Path.of(folder)).read().fold(
        { problems ->
            fail(problems)
            ExitCode.BAD_DATA
        },
        use,
    )
