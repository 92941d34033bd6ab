/*
 * Formats tables for terminals with the cli-table3 library.
 */
import Table from "cli-table3";

const borderlessCharacters = {
    top: "",
    "top-mid": "",
    "top-left": "",
    "top-right": "",
    bottom: "",
    "bottom-mid": "",
    "bottom-left": "",
    "bottom-right": "",
    left: "",
    "left-mid": "",
    mid: "",
    "mid-mid": "",
    right: "",
    "right-mid": "",
    middle: "  ",
};

/**
 * Formats a table without border lines, so that other programs can read it too.
 * @param columnNames - The names of the columns.
 * @param rows - The cells of each row, in the order of the columns.
 */
export function formatTable(columnNames: readonly string[], rows: readonly (readonly string[])[]): string {
    const table = new Table({
        head: [...columnNames],
        chars: borderlessCharacters,
        style: { head: [], border: [], "padding-left": 0, "padding-right": 0 },
    });
    table.push(...rows.map(row => [...row]));
    return table.toString().split("\n").map(line => line.trimEnd()).join("\n");
}
