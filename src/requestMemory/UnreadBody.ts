/*
 * Why a body was not read whole although its caller is still there.
 */
import { BodyOutcome } from "./BodyOutcome";

/** The outcome for a body that was not read whole. */
export type UnreadBody = Extract<BodyOutcome, { kind: "tooLarge" | "overloaded" | "timedOut"; }>;
