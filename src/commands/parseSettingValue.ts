/*
 * Parses the value of a setting from the command line.
 */
import { parseJsonText } from "../settings";

/**
 * Parses a value as JSON, or takes it as a string where it is not JSON, so that plain words need no quotes.
 * @param text - The text on the command line.
 */
export function parseSettingValue(text: string): unknown {
    const parsed = parseJsonText(text);
    return parsed.kind === "parsed" ? parsed.value : text;
}
