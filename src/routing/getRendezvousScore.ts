/*
 * The score of an instance for a key in rendezvous hashing: the instance with the highest score owns the key.
 */
import { InstanceDigest } from "./InstanceDigest";

/** The multipliers of MurmurHash3's 32-bit finalizer. */
const firstMultiplier = 0x85eb_ca6b;
const secondMultiplier = 0xc2b2_ae35;

/**
 * Gets the score of an instance for a key, an unsigned 32-bit integer.
 * @param firstKeyHalf - The first 32 bits of the key's digest, as an unsigned integer.
 * @param secondKeyHalf - The next 32 bits of the key's digest.
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
