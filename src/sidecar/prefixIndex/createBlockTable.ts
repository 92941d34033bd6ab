/*
 * An open-addressing table in typed arrays: 16 bytes of hash and 8 of stamp per slot, without an object per block.
 * Hashes are uniformly distributed, so their first word chooses the slot. Removal shifts later entries back, so that no
 * tombstones accumulate under a steady stream of evictions.
 */
import { BlockTable } from "./BlockTable";

const initialSlots = 1_024;
const maximumLoadFactor = 0.75;
const wordsPerHash = 4;
const bytesPerWord = 4;
const hexDigitsPerWord = 8;
const hexRadix = 16;
const bytesPerStamp = 8;

/** Creates an empty table. */
export function createBlockTable(): BlockTable {
    const searchedWords = new Uint32Array(wordsPerHash);
    let slots = initialSlots;
    let words = new Uint32Array(slots * wordsPerHash);
    let stamps = new Float64Array(slots);
    let size = 0;
    return { getStamp, setStamp, removeBlock, removeBelow, getStamps, clear, getSize: () => size, getBytes };

    function getStamp(hash: string): number {
        return stamps[findSlot(hash)]!;
    }

    function setStamp(hash: string, stamp: number): void {
        const slot = findSlot(hash);
        if (stamps[slot] !== 0) {
            stamps[slot] = stamp;
            return;
        }
        words.set(searchedWords, slot * wordsPerHash);
        stamps[slot] = stamp;
        size++;
        if (size > slots * maximumLoadFactor) {
            rebuild(slots * 2, 0);
        }
    }

    function removeBlock(hash: string): boolean {
        const slot = findSlot(hash);
        if (stamps[slot] === 0) {
            return false;
        }
        size--;
        emptySlot(slot);
        return true;
    }

    function removeBelow(stamp: number): void {
        rebuild(slots, stamp);
    }

    function getStamps(): Float64Array {
        return stamps.filter(stamp => stamp !== 0);
    }

    function clear(): void {
        slots = initialSlots;
        words = new Uint32Array(slots * wordsPerHash);
        stamps = new Float64Array(slots);
        size = 0;
    }

    function getBytes(): number {
        return slots * (wordsPerHash * bytesPerWord + bytesPerStamp);
    }

    /** Finds the slot that holds a hash, or the empty slot to insert it; leaves the hash's words in `searchedWords`. */
    function findSlot(hash: string): number {
        for (let word = 0; word < wordsPerHash; word++) {
            const start = word * hexDigitsPerWord;
            searchedWords[word] = Number.parseInt(hash.slice(start, start + hexDigitsPerWord), hexRadix);
        }
        let slot = searchedWords[0]! & (slots - 1);
        while (stamps[slot] !== 0 && !matchesSearchedWords(slot)) {
            slot = (slot + 1) & (slots - 1);
        }
        return slot;
    }

    /** Tells whether a slot holds the searched hash. */
    function matchesSearchedWords(slot: number): boolean {
        const start = slot * wordsPerHash;
        return words[start] === searchedWords[0]
            && words[start + 1] === searchedWords[1]
            && words[start + 2] === searchedWords[2]
            && words[start + 3] === searchedWords[3];
    }

    /** Empties a slot, and moves back each following entry that a search would no longer find. */
    function emptySlot(start: number): void {
        const mask = slots - 1;
        let hole = start;
        let slot = (hole + 1) & mask;
        while (stamps[slot] !== 0) {
            const preferredSlot = words[slot * wordsPerHash]! & mask;
            const distanceFromPreferred = (slot - preferredSlot) & mask;
            const distanceFromHole = (slot - hole) & mask;
            if (distanceFromPreferred >= distanceFromHole) {
                words.copyWithin(hole * wordsPerHash, slot * wordsPerHash, (slot + 1) * wordsPerHash);
                stamps[hole] = stamps[slot]!;
                hole = slot;
            }
            slot = (slot + 1) & mask;
        }
        stamps[hole] = 0;
    }

    /** Rebuilds the table with a number of slots, without the blocks whose stamp is below the minimum. */
    function rebuild(newSlots: number, minimumStamp: number): void {
        const oldWords = words;
        const oldStamps = stamps;
        slots = newSlots;
        words = new Uint32Array(slots * wordsPerHash);
        stamps = new Float64Array(slots);
        size = 0;
        oldStamps.forEach((stamp, oldSlot) => {
            if (stamp !== 0 && stamp >= minimumStamp) {
                insertWords(oldWords, oldSlot, stamp);
            }
        });
    }

    /** Inserts an entry of the old table, which the new one does not contain yet. */
    function insertWords(oldWords: Uint32Array, oldSlot: number, stamp: number): void {
        const start = oldSlot * wordsPerHash;
        let slot = oldWords[start]! & (slots - 1);
        while (stamps[slot] !== 0) {
            slot = (slot + 1) & (slots - 1);
        }
        words.set(oldWords.subarray(start, start + wordsPerHash), slot * wordsPerHash);
        stamps[slot] = stamp;
        size++;
    }
}
