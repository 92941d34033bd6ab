/*
 * The decision on a request that may have crashed an engine.
 */
import { RefusalDetails } from "../RefusalDetails";

/** How a request may run, or its refusal. */
export type QuarantineDecision =
    /** The request may run beside others. */
    | { kind: "run"; }
    /** The request may run once more, with no other request on the same engine. */
    | { kind: "runAlone"; }
    /** The request is in quarantine, or another trial of it is under way. */
    | { kind: "refused"; refusal: RefusalDetails; };
