/*
 * The delays after which callers may retry that are refused.
 */
import { RefusalReason } from "../protocol";
import { Clock, RandomSource } from "../runtime";
import { WorkspaceUse } from "./WorkspaceUse";

/** The shortest time after which requests of a workspace that has used up its quota ask again, in milliseconds. */
const minimumDelayMilliseconds = 100;
const noContactRetryAfterMilliseconds = 1_000;
const millisecondsPerSecond = 1_000;
/** The share of a delay that is added at random, so that callers that were refused together return apart. */
const retryJitter = 0.3;

/**
 * Creates the delays of an entry process.
 * @param clock - Measures the time until the bucket is refilled.
 * @param random - Spreads the delays.
 */
export function createQuotaDelays(clock: Clock, random: RandomSource) {
    return { getDelayBeforeCharge, getDelayAfterCharge };

    /** Gets when the bucket can supply an amount, by what the leader has said of the smallest one that it could not. */
    function getDelayBeforeCharge(use: WorkspaceUse, reason: RefusalReason, amount: number): number {
        return getDelay(reason, getRemainingMilliseconds(use) + getRefill(use, amount - use.exhaustedAmount));
    }

    /** Gets when a request that was charged may be sent again: once the amount that it lacks can have been granted. */
    function getDelayAfterCharge(use: WorkspaceUse, reason: RefusalReason, missingAmount: number): number {
        return getDelay(reason, Math.max(getRemainingMilliseconds(use), getRefill(use, missingAmount)));
    }

    function getRemainingMilliseconds({ exhaustedUntilMilliseconds }: WorkspaceUse): number {
        return Math.max(minimumDelayMilliseconds, exhaustedUntilMilliseconds - clock.getMonotonicMilliseconds());
    }

    function getRefill({ quota }: WorkspaceUse, amount: number): number {
        return Math.max(0, amount) / quota.amountPerSecond * millisecondsPerSecond;
    }

    function getDelay(reason: RefusalReason, refillMilliseconds: number): number {
        const isExhausted = reason === RefusalReason.QUOTA_EXCEEDED;
        return (isExhausted ? refillMilliseconds : noContactRetryAfterMilliseconds)
            * (1 + retryJitter * random.getFraction());
    }
}
