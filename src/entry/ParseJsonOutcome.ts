/*
 * The result of parsing untrusted JSON.
 */
import { RefusalReason } from "../protocol";

/** The parsed JSON object, or the reason why the input is invalid. */
export type ParseJsonOutcome =
    | { kind: "parsed"; value: Record<string, unknown>; }
    | { kind: "invalid"; reason: RefusalReason; message: string; };
