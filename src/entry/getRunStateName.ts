/*
 * The values of the `basilwing-run` header.
 */
import { RunState } from "../protocol";

/** Gets the header value that says whether a request ran; `unknown` unless the state is certain. */
export function getRunStateName(runState: RunState): string {
    switch (runState) {
        case RunState.NOT_RUN:
            return "no";
        case RunState.RAN:
            return "yes";
        case RunState.UNKNOWN:
        case RunState.UNSPECIFIED:
            return "unknown";
    }
}
