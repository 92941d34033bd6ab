/*
 * Converts the events that sidecars send into events of a response.
 */
import { DispatchEvent } from "../protocol";
import { ResponseEvent } from "./ResponseEvent";

/**
 * Gets the response event for a sidecar's event.
 * @param event - The event that the sidecar sent.
 * @param instanceId - The id of the sidecar that sent it.
 * @returns The response event; undefined for an event of an unknown kind.
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
