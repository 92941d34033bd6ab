/*
 * An exact index over one engine's cache events.
 *
 * Each piece bears the stamp of its last confirmation: a stored event, or an answer that found or left it cached. A gap
 * in the event numbers may hide a removal, so it raises the bound below which stamps are unsure; a later confirmation
 * makes the piece sure again. A lost stored event only makes the index claim less than there is. Hashes are seeded with
 * workspace, model and weights version, so that no lookup can find an entry of another scope. A new incarnation drops
 * everything, and what is left of earlier incarnations' events is ignored.
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

    /** Counts the first hashes whose stamps reach a bound. */
    function countBlocks(hashes: readonly string[], minimumStamp: number): number {
        let count = 0;
        while (count < hashes.length && table.getStamp(hashes[count]!) >= minimumStamp) {
            count++;
        }
        return count;
    }

    /** Tells whether an incarnation is the engine's; a new one drops what the one before held. */
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

    /** Takes an incarnation as the engine's, and retires the one before. */
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

    /** Makes everything confirmed so far unsure where event numbers are missing. */
    function recordGap(number: number): void {
        if (number === lastEventNumber + 1) {
            return;
        }
        certainSinceStamp = nextStamp;
        if (lastEventNumber > 0) {
            options.onEventGap?.(number - lastEventNumber - 1);
        }
    }

    /** Applies an event that follows all before it. */
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

    /** Confirms pieces under a new stamp. */
    function confirmBlocks(hashes: readonly string[]): void {
        const stamp = nextStamp++;
        hashes.forEach(hash => table.setStamp(hash, stamp));
        if (table.getSize() > maximumBlocks) {
            evictOldest();
        }
    }
    /** Drops what is unsure, then the least recently confirmed, so that the table stays within its bound. */
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
