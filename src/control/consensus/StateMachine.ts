/*
 * The state machine to which a replicated log applies its committed commands.
 */
import { ApplyContext } from "./ApplyContext";

/** A deterministic state machine, which reaches the same state at every member. */
export interface StateMachine {
    /**
     * Applies a committed command.
     * @param command - The encoded command.
     * @param context - The command's position in the log.
     * @returns The encoded result for the proposer, which has to be the same at every member.
     */
    apply(command: Uint8Array, context: ApplyContext): Uint8Array;
    /** Gets the whole encoded state, so that the entries before it can be removed from the log. */
    takeSnapshot(): Uint8Array;
    /** Replaces the whole state with one that `takeSnapshot` returned. */
    restoreSnapshot(snapshot: Uint8Array): void;
}
