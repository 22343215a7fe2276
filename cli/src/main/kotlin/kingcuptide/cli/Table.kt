package kingcuptide.cli

import kotlinx.serialization.json.Json

/** Lays out [rows] under [headers] in columns, one row a line; empty if there are no rows. */
internal fun table(headers: List<String>, rows: List<List<String>>): String {
    if (rows.isEmpty()) return ""
    val lines = listOf(headers) + rows
    val widths = headers.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n") { cells ->
        cells.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}

/** Format of `--json` output: it has default values too. */
internal val OUTPUT_JSON = Json { encodeDefaults = true }
