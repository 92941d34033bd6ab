/*
 * A part of the replicated state machine. The configuration tree, the claims, the quarantine and the rollouts are parts
 * that don't depend on each other.
 */
import { Command, CommandResult, QueryKind } from "../protocol";
import { ApplyContext } from "./consensus";

/** A deterministic part of the replicated state, with its commands and queries. */
export interface StateMachinePart {
    /** The name under which snapshots store the part's state. */
    readonly name: string;
    /**
     * Applies a committed command.
     * @param command - The command.
     * @param context - The command's position in the log and its time.
     * @returns The result, or undefined if the command belongs to another part.
     */
    apply(command: Command, context: ApplyContext): CommandResult["result"] | undefined;
    /**
     * Answers a query from the part's state.
     * @param kind - The kind of query.
     * @param argument - The argument, whose meaning depends on the kind.
     * @returns A value that can be written as JSON, or undefined if the query belongs to another part.
     */
    query(kind: QueryKind, argument: string): unknown;
    /** Gets the part's whole encoded state. */
    takeSnapshot(): Uint8Array;
    /** Replaces the part's whole state with one that `takeSnapshot` returned. */
    restoreSnapshot(snapshot: Uint8Array): void;
}
