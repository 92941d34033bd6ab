import { RandomSource } from "../../../src/runtime";
import { UnsyncedWrite } from "./UnsyncedWrite";

/** Gets a file's content after a crash: each write since the last sync is lost at random, independently of the others. */
export function loseUnsyncedWrites(
    synced: Buffer,
    unsyncedWrites: readonly UnsyncedWrite[],
    random: RandomSource,
): Buffer {
    return unsyncedWrites.reduce(
        (content, write) => random.getFraction() < 0.3 ? content : applyWrite(content, write, random),
        synced,
    );
}

/** Applies a write in whole or in part; a gap that a missing write leaves is filled with zeros. */
function applyWrite(content: Buffer, write: UnsyncedWrite, random: RandomSource): Buffer {
    if (write.kind === "truncate") {
        return content.subarray(0, write.byteCount);
    }
    const isWhole = random.getFraction() < 0.3;
    const data = Buffer.from(
        write.data.subarray(0, isWhole ? undefined : random.getInteger(write.data.length + 1)),
    );
    if (!isWhole && data.length > 0 && random.getFraction() < 0.5) {
        data.fill(0, random.getInteger(data.length));
    }
    const end = write.offset + data.length;
    const written = Buffer.concat([content, Buffer.alloc(Math.max(0, end - content.length))]);
    data.copy(written, write.offset);
    return written;
}
