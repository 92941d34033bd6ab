/*
 * The result of one call to a control member, as the calling entry process sees it.
 */
import { StreamOrigin } from "../protocol";

/** The member's response, or the reason why there is none. */
export type StreamOriginReply =
    /** The member holds the origins. Its incarnation differs after each start, when it holds no earlier origins. */
    | { kind: "recorded"; memberIncarnation: string; }
    | { kind: "found"; origin: StreamOrigin; }
    | { kind: "notFound"; }
    | { kind: "failed"; reason: string; };
