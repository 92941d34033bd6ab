/*
 * The choice of the control member that owns the limits of a level. Rendezvous hashing makes all members choose the same
 * owner, and moves few levels when the group changes.
 */
import { createHash } from "node:crypto";

/**
 * Chooses the owner of a level's limits.
 * @param level - The level's path.
 * @param addresses - The members' addresses, as `ip:port`.
 * @returns The owner's address; undefined if there are no members.
 */
export function chooseQuotaOwner(level: string, addresses: readonly string[]): string | undefined {
    const weights = addresses.map(address => ({
        address,
        weight: createHash("sha256").update(`${level}\n${address}`).digest().readBigUInt64BE(),
    }));
    weights.sort((first, second) => first.weight > second.weight ? -1 : 1);
    return weights[0]?.address;
}
