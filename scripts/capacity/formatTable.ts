/*
 * Formats tables in Markdown.
 */

/**
 * Formats a table in Markdown.
 * @param headings - The headings of the columns.
 * @param rows - The cells of each row, one for each heading.
 */
export function formatTable(headings: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [headings, headings.map(() => "---"), ...rows];
    return lines.map(cells => `| ${cells.join(" | ")} |`).join("\n");
}
