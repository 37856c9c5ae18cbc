package dev.kumquatknot.proxy.http

/**
 * Replaces arrays and objects that are nested too deeply in JSON text. Parsers and formatters of JSON recurse, so such
 * a value of one writer would end the thread that reads the values of all of them.
 */
public object NestingLimit {
    /** Far deeper than the documents that are exchanged, and shallow enough for a stack of 256 KiB. */
    public const val MAXIMUM_DEPTH: Int = 32

    /** Returns [text] with `null` in place of each array and object that is nested deeper than [MAXIMUM_DEPTH]. */
    public fun apply(text: String): String {
        var kept: StringBuilder? = null
        var copied = 0
        scan(text) { start, end ->
            val target = kept ?: StringBuilder().also { kept = it }
            target.append(text, copied, start).append("null")
            copied = end
        }
        return kept?.append(text, copied, text.length)?.toString() ?: text
    }

    /** Calls [onTooDeep] with the bounds of each outermost value that is too deep; the last one may have no end. */
    private inline fun scan(text: String, onTooDeep: (start: Int, end: Int) -> Unit) {
        var depth = 0
        var start = 0
        var index = 0
        while (index < text.length) {
            when (text[index]) {
                '"' -> index = endOfString(text, index)
                '[', '{' -> if (++depth == MAXIMUM_DEPTH + 1) start = index
                ']', '}' -> if (depth-- == MAXIMUM_DEPTH + 1) onTooDeep(start, index + 1)
            }
            index++
        }
        if (depth > MAXIMUM_DEPTH) onTooDeep(start, text.length)
    }

    /** Returns the index of the quotation mark that ends the string from [start] on; past [text] if there is none. */
    private fun endOfString(text: String, start: Int): Int {
        var index = start + 1
        while (index < text.length && text[index] != '"') index += if (text[index] == '\\') 2 else 1
        return index
    }
}
