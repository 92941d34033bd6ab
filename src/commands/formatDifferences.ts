/*
 * Formats the differences between two states of the configuration for a terminal.
 */
import { SettingDifference } from "../control/configuration";

/**
 * Formats differences, one line each: `-` before a removed value, `+` before an added one.
 * @param differences - The differences, in the order in which they are printed.
 */
export function formatDifferences(differences: readonly SettingDifference[]): string {
    return differences.flatMap(formatDifference).join("\n");
}

function formatDifference({ level, setting, before, after }: SettingDifference): readonly string[] {
    const name = setting === "" ? level : `${level} ${setting}`;
    const lines: string[] = [];
    if (before !== undefined) {
        lines.push(`- ${name} = ${JSON.stringify(before)}`);
    }
    if (after !== undefined) {
        lines.push(`+ ${name} = ${JSON.stringify(after)}`);
    }
    return lines;
}
