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
import { createPieceTable } from "./createPieceTable";
import { PrefixIndexOptions } from "./PrefixIndexOptions";

const defaultMaximumPieces = 400_000;
const rememberedIncarnations = 16;
const keptShareOnOverflow = 0.9;

/** Creates an empty index. */
export function createPrefixIndex(options: PrefixIndexOptions = {}): PrefixIndex {
    const maximumPieces = options.maximumPieces ?? defaultMaximumPieces;
    const table = createPieceTable();
    const retiredIncarnations = new Set<string>();
    let incarnation: string | undefined;
    let lastNumber = 0;
    let nextStamp = 1;
    let sureStamp = 1;
    return { getCachedPieces, getLikelyPieces, addEvent, addAnswer, reset, getSize: table.getSize };

    function getCachedPieces(hashes: readonly string[]): number {
        return countPieces(hashes, sureStamp);
    }

    function getLikelyPieces(hashes: readonly string[]): number {
        return countPieces(hashes, 1);
    }

    function addEvent(event: CacheEvent): void {
        if (!acceptIncarnation(event.incarnation)) {
            return;
        }
        if (event.number <= lastNumber) {
            return;
        }
        noteGap(event.number);
        lastNumber = event.number;
        applyEvent(event);
    }

    function addAnswer(hashes: readonly string[], cachedPieces: number, answeredIncarnation?: string): void {
        if (answeredIncarnation !== undefined && !acceptIncarnation(answeredIncarnation)) {
            return;
        }
        const claimedPieces = countPieces(hashes, sureStamp);
        if (claimedPieces > cachedPieces) {
            options.onFalseClaim?.(claimedPieces - cachedPieces);
        }
        addPieces(hashes);
    }

    function reset(newIncarnation?: string): void {
        if (newIncarnation !== undefined) {
            adoptIncarnation(newIncarnation);
        }
        table.clear();
    }

    /** Counts the first hashes whose stamps reach a bound. */
    function countPieces(hashes: readonly string[], leastStamp: number): number {
        let count = 0;
        while (count < hashes.length && table.getStamp(hashes[count]!) >= leastStamp) {
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
        if (retiredIncarnations.size > rememberedIncarnations) {
            retiredIncarnations.delete(retiredIncarnations.values().next().value!);
        }
        incarnation = newIncarnation;
        lastNumber = 0;
    }

    /** Makes everything confirmed so far unsure where event numbers are missing. */
    function noteGap(number: number): void {
        if (number === lastNumber + 1) {
            return;
        }
        sureStamp = nextStamp;
        if (lastNumber > 0) {
            options.onGap?.(number - lastNumber - 1);
        }
    }

    /** Applies an event that follows all before it. */
    function applyEvent(event: CacheEvent): void {
        switch (event.kind) {
            case "stored":
                addPieces(event.hashes);
                return;
            case "removed":
                event.hashes.forEach(hash => table.removePiece(hash));
                return;
            case "cleared":
                table.clear();
                return;
            default:
                assertNever(event.kind);
        }
    }

    /** Confirms pieces under a new stamp. */
    function addPieces(hashes: readonly string[]): void {
        const stamp = nextStamp++;
        hashes.forEach(hash => table.setStamp(hash, stamp));
        if (table.getSize() > maximumPieces) {
            dropOldest();
        }
    }
    /** Drops what is unsure, then the least recently confirmed, so that the table stays within its bound. */
    function dropOldest(): void {
        table.removeBelow(sureStamp);
        if (table.getSize() <= maximumPieces) {
            return;
        }
        const stamps = table.getStamps().sort();
        const dropped = stamps.length - Math.floor(maximumPieces * keptShareOnOverflow);
        table.removeBelow(stamps[dropped]! + 1);
    }
}
