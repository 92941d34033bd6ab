/*
 * Collects bytes that arrive in parts. A part of one byte occupies a hundred times as much as an object of its own, so that
 * a limit in bytes would not limit the memory.
 */
import { ByteCollector } from "./ByteCollector";

/** The size of the blocks in which parts are joined, in bytes. */
const blockBytes = 16_384;

/** Creates an empty collector. */
export function createByteCollector(): ByteCollector {
    let parts: Uint8Array[] = [];
    let length = 0;
    let block: Buffer | undefined;
    let usedBytes = 0;
    return { add, getLength: () => length, takeParts };

    function add(part: Uint8Array): void {
        if (part.length === 0) {
            return;
        }
        const isFirst = length === 0;
        length += part.length;
        if (part.length >= blockBytes) {
            endBlock();
            parts.push(part);
            return;
        }
        // Most bodies have a single part.
        if (isFirst) {
            parts.push(Buffer.from(part));
            return;
        }
        for (let offset = 0; offset < part.length;) {
            block ??= Buffer.allocUnsafeSlow(blockBytes);
            const end = Math.min(part.length, offset + block.length - usedBytes);
            block.set(part.subarray(offset, end), usedBytes);
            usedBytes += end - offset;
            offset = end;
            if (usedBytes === block.length) {
                endBlock();
            }
        }
    }

    /** Ends the block; where it isn't full, its used bytes are copied and it is filled again. */
    function endBlock(): void {
        if (!block || usedBytes === 0) {
            return;
        }
        if (usedBytes === block.length) {
            parts.push(block);
            block = undefined;
        }
        else {
            parts.push(Buffer.from(block.subarray(0, usedBytes)));
        }
        usedBytes = 0;
    }

    function takeParts(): Uint8Array[] {
        endBlock();
        const taken = parts;
        parts = [];
        length = 0;
        return taken;
    }
}
