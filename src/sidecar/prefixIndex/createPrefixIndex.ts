/*
 * An index built from one engine's cache events, which never counts an uncached block as certain.
 *
 * Each block has the stamp of its last confirmation: a stored event, or a response that found or left it cached. A
 * removal may be among the events lost in a gap of the event numbers, so a gap raises the stamp below which blocks are
 * uncertain; a later confirmation makes a block certain again. A lost stored event only makes the index count too few
 * blocks. Hashes are seeded with workspace, model and weights version, so that no lookup finds an entry of another
 * scope. A new incarnation empties the index, and late events of earlier incarnations are ignored.
 */
import { CacheEvent } from "../../backends";
import { assertNever } from "../../errors";
import { PrefixIndex } from "../PrefixIndex";
import { createBlockTable } from "./createBlockTable";
import { PrefixIndexOptions } from "./PrefixIndexOptions";

const defaultMaximumBlocks = 400_000;
const maximumRetiredIncarnations = 16;
const retainedShareOnOverflow = 0.9;

/** Creates an empty index. */
export function createPrefixIndex(options: PrefixIndexOptions = {}): PrefixIndex {
    const maximumBlocks = options.maximumBlocks ?? defaultMaximumBlocks;
    const table = createBlockTable();
    const retiredIncarnations = new Set<string>();
    let incarnation: string | undefined;
    let lastEventNumber = 0;
    let nextStamp = 1;
    let certainSinceStamp = 1;
    return { getCachedBlocks, getLikelyBlocks, addEvent, addResponse, reset, getSize: table.getSize };

    function getCachedBlocks(hashes: readonly string[]): number {
        return countBlocks(hashes, certainSinceStamp);
    }

    function getLikelyBlocks(hashes: readonly string[]): number {
        return countBlocks(hashes, 1);
    }

    function addEvent(event: CacheEvent): void {
        if (!acceptIncarnation(event.incarnation)) {
            return;
        }
        if (event.number <= lastEventNumber) {
            return;
        }
        recordGap(event.number);
        lastEventNumber = event.number;
        applyEvent(event);
    }

    function addResponse(hashes: readonly string[], cachedBlocks: number, respondingIncarnation?: string): void {
        if (respondingIncarnation !== undefined && !acceptIncarnation(respondingIncarnation)) {
            return;
        }
        const indexedBlocks = countBlocks(hashes, certainSinceStamp);
        if (indexedBlocks > cachedBlocks) {
            options.onOvercount?.(indexedBlocks - cachedBlocks);
        }
        confirmBlocks(hashes);
    }

    function reset(newIncarnation?: string): void {
        if (newIncarnation !== undefined) {
            adoptIncarnation(newIncarnation);
        }
        table.clear();
    }

    /** Counts the leading hashes whose stamp is at least the minimum. */
    function countBlocks(hashes: readonly string[], minimumStamp: number): number {
        let count = 0;
        while (count < hashes.length && table.getStamp(hashes[count]!) >= minimumStamp) {
            count++;
        }
        return count;
    }

    /** Tells whether an incarnation is the engine's current one. A new one empties the index and becomes current. */
    function acceptIncarnation(seen: string): boolean {
        if (seen === incarnation) {
            return true;
        }
        if (retiredIncarnations.has(seen)) {
            return false;
        }
        reset(seen);
        return true;
    }

    /** Makes an incarnation the engine's current one, and retires the previous one. */
    function adoptIncarnation(newIncarnation: string): void {
        if (newIncarnation === incarnation) {
            return;
        }
        if (incarnation !== undefined) {
            retiredIncarnations.add(incarnation);
        }
        if (retiredIncarnations.size > maximumRetiredIncarnations) {
            retiredIncarnations.delete(retiredIncarnations.values().next().value!);
        }
        incarnation = newIncarnation;
        lastEventNumber = 0;
    }

    /** Makes all blocks confirmed so far uncertain if event numbers are missing. */
    function recordGap(number: number): void {
        if (number === lastEventNumber + 1) {
            return;
        }
        certainSinceStamp = nextStamp;
        if (lastEventNumber > 0) {
            options.onEventGap?.(number - lastEventNumber - 1);
        }
    }

    /** Applies an event that is newer than all applied before. */
    function applyEvent(event: CacheEvent): void {
        switch (event.kind) {
            case "stored":
                confirmBlocks(event.hashes);
                return;
            case "removed":
                event.hashes.forEach(hash => table.removeBlock(hash));
                return;
            case "cleared":
                table.clear();
                return;
            default:
                assertNever(event.kind);
        }
    }

    /** Confirms blocks with a new stamp. */
    function confirmBlocks(hashes: readonly string[]): void {
        const stamp = nextStamp++;
        hashes.forEach(hash => table.setStamp(hash, stamp));
        if (table.getSize() > maximumBlocks) {
            evictOldest();
        }
    }

    /** Removes uncertain blocks, then the least recently confirmed ones, to keep the table within its limit. */
    function evictOldest(): void {
        table.removeBelow(certainSinceStamp);
        if (table.getSize() <= maximumBlocks) {
            return;
        }
        const stamps = table.getStamps().sort();
        const dropped = stamps.length - Math.floor(maximumBlocks * retainedShareOnOverflow);
        table.removeBelow(stamps[dropped]! + 1);
    }
}
