/*
 * The outcome of a change, stored so that a retry of the change gets the same outcome.
 */
import { ChangeOutcome } from "./ChangeOutcome";

/** The outcome of the change with an id. */
export interface StoredChangeOutcome {
    /** The change's id. */
    changeId: string;
    /** The SHA-256 of the change's content, in hexadecimal; it distinguishes a retry from other changes. */
    contentDigest: string;
    /** The outcome that the first request got. */
    outcome: ChangeOutcome;
}
