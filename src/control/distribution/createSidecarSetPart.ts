/*
 * The set of sidecars whose majority can give peer confirmation, as a part of the replicated state. It is durable: after a
 * restart of all control members, the few sidecars that have reconnected must not be mistaken for the whole set.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
    Command,
    CommandResult,
    CompanionSetChange,
    CompanionSetResultSchema,
    CompanionSetSchema,
    CompanionSetStateSchema,
    QueryKind,
} from "../../protocol";
import { SidecarSetPart } from "./SidecarSetPart";

/** Creates the state machine part with an empty sidecar set. */
export function createSidecarSetPart(): SidecarSetPart {
    const listeners = new Set<() => void>();
    let members = new Map<string, string>();
    let formerMembers = new Map<string, string>();
    let set = create(CompanionSetSchema);
    return {
        name: "companionSet",
        apply,
        query,
        takeSnapshot,
        restoreSnapshot,
        getSet: () => set,
        getMembers: () => members,
        getFormerMembers: () => formerMembers,
        addListener,
    };

    function apply({ command }: Command): CommandResult["result"] | undefined {
        if (command.case !== "companionSetChange") {
            return undefined;
        }
        const accepted = command.value.expectedNumber === set.number;
        if (accepted) {
            applyChange(command.value);
        }
        return { case: "companionSet", value: create(CompanionSetResultSchema, { accepted, number: set.number }) };
    }

    function applyChange(change: CompanionSetChange): void {
        formerMembers = members;
        members = new Map(members);
        change.removed.forEach(instanceId => members.delete(instanceId));
        change.added.forEach(({ instanceId, incarnation }) => members.set(instanceId, incarnation));
        setNumber(set.number + 1n);
    }

    function setNumber(number: bigint): void {
        set = create(CompanionSetSchema, { number, instanceIds: [...members.keys()] });
        listeners.forEach(listener => listener());
    }

    function query(kind: QueryKind): unknown {
        if (kind !== QueryKind.COMPANION_SET) {
            return undefined;
        }
        return { number: Number(set.number), instanceIds: [...members.keys()].sort() };
    }

    function takeSnapshot(): Uint8Array {
        const state = create(CompanionSetStateSchema, {
            number: set.number,
            members: Object.fromEntries(members),
            formerMembers: Object.fromEntries(formerMembers),
        });
        return toBinary(CompanionSetStateSchema, state);
    }

    function restoreSnapshot(snapshot: Uint8Array): void {
        const state = fromBinary(CompanionSetStateSchema, snapshot);
        members = new Map(Object.entries(state.members));
        formerMembers = new Map(Object.entries(state.formerMembers));
        setNumber(state.number);
    }

    function addListener(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }
}
