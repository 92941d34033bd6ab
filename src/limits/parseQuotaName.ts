/*
 * Reads a limit's name.
 */
import { QuotaKind } from "./QuotaKind";
import { QuotaName } from "./QuotaName";

/** Reads a limit's name from its text; undefined where it names no limit. */
export function parseQuotaName(formattedName: string): QuotaName | undefined {
    const separator = formattedName.indexOf(":");
    const kind = Object.values(QuotaKind).find(value => value === formattedName.slice(0, separator));
    return kind === undefined ? undefined : { kind, level: formattedName.slice(separator + 1) };
}
