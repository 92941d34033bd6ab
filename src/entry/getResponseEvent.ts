/*
 * Turns a sidecar's event into a part of the answer.
 */
import { DispatchEvent } from "../protocol";
import { ResponseEvent } from "./ResponseEvent";

/**
 * Gets the part of the answer that an event carries.
 * @param instanceId - The sidecar that it comes from.
 * @returns The part; undefined for an event of a kind not known here.
 */
export function getResponseEvent(event: DispatchEvent, instanceId: string): ResponseEvent | undefined {
    const { case: name, value } = event.event;
    switch (name) {
        case "started":
            return { kind: "started", instanceId, version: value.version };
        case "text":
            return { kind: "text", text: value.text, tokens: value.tokens };
        case "head":
            return { kind: "head", status: value.status, headers: value.headers };
        case "body":
            return { kind: "body", data: value.data };
        case "end":
            return { kind: "end", end: value };
        case "refused": {
            const { message, reason, retryAfterMilliseconds, runState } = value;
            return { kind: "refused", refusal: { message, reason, retryAfterMilliseconds, runState } };
        }
        case undefined:
            return undefined;
    }
}
