/*
 * Checks the form of a level's settings in snapshots and deltas.
 */
import { parseJsonText } from "../../settings/validation";

/** Returns whether a text is a JSON object; the control members have validated its content when they accepted it. */
export function isSettingsJson(json: string | undefined): boolean {
    const parsed = parseJsonText(json ?? "");
    return parsed.kind === "parsed"
        && typeof parsed.value === "object"
        && Boolean(parsed.value)
        && !Array.isArray(parsed.value);
}
