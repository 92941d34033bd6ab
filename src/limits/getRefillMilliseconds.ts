/*
 * The refill time of rate limits.
 */
import { QuotaKind } from "./QuotaKind";

const millisecondsPerSecond = 1_000;
const millisecondsPerMinute = 60_000;

/**
 * Gets the time in which an amount of a rate refills, in milliseconds; the rate's whole period where the limit is 0.
 * @param kind - What the limit counts.
 * @param limit - The limit's value in the settings.
 * @param amount - The amount to refill.
 */
export function getRefillMilliseconds(kind: QuotaKind, limit: number, amount: number): number {
    const periodMilliseconds = kind === QuotaKind.TokensPerMinute ? millisecondsPerMinute : millisecondsPerSecond;
    return limit > 0 ? amount * periodMilliseconds / limit : periodMilliseconds;
}
