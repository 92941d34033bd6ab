/*
 * Parses a limit's name.
 */
import { QuotaKind } from "./QuotaKind";
import { QuotaName } from "./QuotaName";

/**
 * Parses a limit's name.
 * @param formattedName - The name as text, for example `tokensPerMinute:/workspace`.
 * @returns The name; undefined where the text has no valid kind.
 */
export function parseQuotaName(formattedName: string): QuotaName | undefined {
    const separator = formattedName.indexOf(":");
    const kind = Object.values(QuotaKind).find(value => value === formattedName.slice(0, separator));
    return kind === undefined ? undefined : { kind, level: formattedName.slice(separator + 1) };
}
