/*
 * Composes the parts of the replicated state. Each command is applied by the part that handles it, and a snapshot
 * contains each part's state under the part's name.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Command, CommandResultSchema, CommandSchema, QueryKind } from "../protocol";
import { ApplyContext } from "./consensus";
import { ControlState } from "./ControlState";
import { decodeNamedSnapshots } from "./decodeNamedSnapshots";
import { encodeNamedSnapshots } from "./encodeNamedSnapshots";
import { StateMachinePart } from "./StateMachinePart";

/**
 * Creates the state of a control member.
 * @param parts - The parts, in their initial state.
 */
export function createControlState(parts: readonly StateMachinePart[]): ControlState {
    const initialSnapshots = new Map(parts.map(part => [part.name, part.takeSnapshot()]));
    // The state of parts that only a newer version of the program has. It is retained so that a snapshot taken here
    // doesn't lose it.
    let unrecognisedSnapshots = new Map<string, Uint8Array>();
    return { apply, query, takeSnapshot, restoreSnapshot };

    function apply(bytes: Uint8Array, context: ApplyContext): Uint8Array {
        const command = decodeCommand(bytes);
        const fencingToken = { term: context.term, index: context.index };
        const result = command === undefined ? undefined : applyToParts(command, context);
        return toBinary(CommandResultSchema, create(CommandResultSchema, { result, number: fencingToken }));
    }

    /** Applies a command to the part that handles it; a command that no part handles has no result. */
    function applyToParts(command: Command, context: ApplyContext): ReturnType<StateMachinePart["apply"]> {
        for (const part of parts) {
            const result = part.apply(command, context);
            if (result !== undefined) {
                return result;
            }
        }
        return undefined;
    }

    function query(kind: QueryKind, argument: string): unknown {
        for (const part of parts) {
            const value = part.query(kind, argument);
            if (value !== undefined) {
                return value;
            }
        }
        return undefined;
    }

    function takeSnapshot(): Uint8Array {
        const partSnapshots = parts.map(part => [part.name, part.takeSnapshot()] as const);
        return encodeNamedSnapshots(new Map([...partSnapshots, ...unrecognisedSnapshots]));
    }

    function restoreSnapshot(snapshot: Uint8Array): void {
        const snapshots = decodeNamedSnapshots(snapshot);
        for (const part of parts) {
            part.restoreSnapshot(snapshots.get(part.name) ?? initialSnapshots.get(part.name)!);
            snapshots.delete(part.name);
        }
        unrecognisedSnapshots = snapshots;
    }
}

/** Decodes a command; returns undefined for invalid bytes, at every member alike. */
function decodeCommand(bytes: Uint8Array): Command | undefined {
    try {
        return fromBinary(CommandSchema, bytes);
    }
    catch {
        return undefined;
    }
}
