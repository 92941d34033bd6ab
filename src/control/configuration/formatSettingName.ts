/*
 * Formats the name of a setting within a level, as operators write it.
 */
import { formatValuePath } from "../../settings/validation";

/**
 * Formats a setting's dotted name; a part that contains a dot is quoted, as in `models."small-1.5".allowed`.
 * @param parts - The parts of the name, outermost first.
 */
export function formatSettingName(parts: readonly string[]): string {
    return formatValuePath(parts);
}
