/*
 * How a request may run that may have crashed an engine.
 */
import { RefusalDetails } from "../RefusalDetails";

/** The outcome of asking for a trial. */
export type QuarantineDecision =
    | { kind: "run"; }
    /** The request may run once more, with no other beside it. */
    | { kind: "runAlone"; }
    | { kind: "refused"; refusal: RefusalDetails; };
