/*
 * The score of an instance for a key in rendezvous hashing: the instance with the highest score holds the key.
 */
import { InstanceDigest } from "./InstanceDigest";

const firstMultiplier = 0x85eb_ca6b;
const secondMultiplier = 0xc2b2_ae35;

/**
 * Gets the score of an instance for a key, an unsigned number of 32 bits.
 * @param firstKeyHalf - The first half of the key's digest.
 * @param secondKeyHalf - The second half.
 * @param digest - The instance's digest.
 */
export function getRendezvousScore(firstKeyHalf: number, secondKeyHalf: number, digest: InstanceDigest): number {
    let mixed = firstKeyHalf ^ digest.first;
    mixed = Math.imul(mixed ^ (mixed >>> 16), firstMultiplier);
    mixed = (mixed ^ (mixed >>> 13) ^ secondKeyHalf) + digest.second;
    mixed = Math.imul(mixed ^ (mixed >>> 16), secondMultiplier);
    mixed = Math.imul(mixed ^ (mixed >>> 13), firstMultiplier);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
