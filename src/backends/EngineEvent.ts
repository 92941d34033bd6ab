/*
 * The events of an engine's response to a completion request.
 */

import { FailureCause } from "./FailureCause";

/** One event of an engine's response. */
export type EngineEvent =
    /** The engine has accepted the request. */
    | { kind: "started"; incarnation: string; version: string; }
    /** A part of the generated text, with its number of tokens. */
    | { kind: "text"; text: string; tokens: number; }
    /** The response is complete. */
    | { kind: "end"; finishReason: string; promptTokens: number; cachedTokens: number; completionTokens: number; }
    /** The engine refused the request and did not run it. */
    | { kind: "refused"; status: number; message: string; }
    /** The connection or the engine failed. `hasSent` is false only if no byte of the request can have been sent. */
    | { kind: "failed"; hasSent: boolean; message: string; cause?: FailureCause; };
