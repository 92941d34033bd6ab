/*
 * The first answer to a change, for those who send it again.
 */
import { ChangeOutcome } from "./ChangeOutcome";

/** An answer that is given again. */
export interface StoredChangeOutcome {
    /** The change's id. */
    changeId: string;
    /** The SHA-256 of the change's content, in hexadecimal. */
    contentDigest: string;
    /** The answer. */
    outcome: ChangeOutcome;
}
