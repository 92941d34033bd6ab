/*
 * The ranking of instances for keys by rendezvous hashing.
 */
import { ProcessRecord } from "../protocol";

/** Ranks a fixed list of candidates for keys. */
export interface RendezvousRanking {
    /**
     * Gets the instances with the highest scores for a key, highest first.
     * @param key - A hash of at least 16 hexadecimal digits.
     */
    getTopInstances(key: string): readonly ProcessRecord[];
}
