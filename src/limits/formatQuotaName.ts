/*
 * Formats a limit's name as text, which the wire's quota requests and grants carry.
 */
import { QuotaName } from "./QuotaName";

/**
 * Formats a limit's name, for example `tokensPerMinute:/workspace`.
 * @param name - The limit's name.
 */
export function formatQuotaName(name: QuotaName): string {
    return `${name.kind}:${name.level}`;
}
