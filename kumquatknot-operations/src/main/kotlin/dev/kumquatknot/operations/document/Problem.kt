package dev.kumquatknot.operations.document

/**
 * One error in an input document that a person wrote.
 *
 * @property file name of the file as given on input.
 * @property field JSON path of the field, such as `$.kinds[2].rank`; `$` is the whole file.
 * @property value the value as written, shortened; null if there is none.
 * @property fault what is wrong.
 * @property remedy what to write instead.
 */
public data class Problem(
    val file: String,
    val field: String,
    val value: String?,
    val fault: String,
    val remedy: String,
) {
    override fun toString(): String {
        val found = value?.let { " (found $it)" }.orEmpty()
        return "$file: $field: $fault$found. Remedy: $remedy."
    }
}
