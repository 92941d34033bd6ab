/*
 * A snapshot with its position in the log.
 */
import { MemberSet } from "../../protocol";

/** The state of the state machine after a given log entry. */
export interface StoredSnapshot {
    /** The index of the last entry that the snapshot covers. */
    index: bigint;
    /** The term of that entry. */
    term: bigint;
    /** The group's members as of that entry. */
    members: MemberSet;
    /** The serialized state of the state machine. */
    data: Uint8Array;
}
