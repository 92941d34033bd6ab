/*
 * Encodes the file with a member's term and vote, whose payload is JSON.
 */
import { encodeChecksummedFile } from "./encodeChecksummedFile";
import { FileKind } from "./FileKind";
import { HardState } from "./HardState";

/**
 * Encodes a member's term and vote.
 * @param state - The term and vote.
 */
export function encodeHardState(state: HardState): Uint8Array {
    const payload = Buffer.from(JSON.stringify({ term: String(state.term), votedFor: state.votedFor }));
    return encodeChecksummedFile(FileKind.HardState, payload);
}
