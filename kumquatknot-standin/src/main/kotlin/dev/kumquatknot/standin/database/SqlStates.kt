package dev.kumquatknot.standin.database

/** SQLSTATE codes of failures that the stand-in raises itself rather than its SQL engine. */
internal object SqlStates {
    const val NOT_SUPPORTED = "0A000"
    const val READ_ONLY_TRANSACTION = "25006"
    const val SERIALIZATION_FAILURE = "40001"
    const val LOCK_NOT_AVAILABLE = "55P03"
    const val STATEMENT_TIMEOUT = "57014"
    const val INTERNAL_ERROR = "XX000"
}
