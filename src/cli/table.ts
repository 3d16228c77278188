/** Formats a text table; each column is as wide as its widest cell. */
export function formatTable(
	headings: readonly string[],
	rows: readonly (readonly (string | number)[])[]
): string {
	const lines = [headings, ...rows].map(row => row.map(String))
	const widths = headings.map((_, column) =>
		Math.max(...lines.map(line => (line[column] ?? "").length))
	)
	return lines.map(line => formatLine(line, widths)).join("\n")
}

function formatLine(cells: readonly string[], widths: readonly number[]): string {
	return cells
		.map((cell, column) => cell.padEnd(widths[column] ?? 0))
		.join("  ")
		.trimEnd()
}
