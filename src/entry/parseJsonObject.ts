/*
 * Parses untrusted JSON.
 */
import { isUtf8 } from "node:buffer";
import { RefusalReason } from "../protocol";
import { ParseJsonOutcome } from "./ParseJsonOutcome";

const maximumDepth = 64;
const quote = 0x22;
const backslash = 0x5c;
const openBracket = 0x5b;
const closeBracket = 0x5d;
const openBrace = 0x7b;
const closeBrace = 0x7d;

/** Parses a JSON object; its nesting depth is limited before it is passed to the parser. */
export function parseJsonObject(body: Buffer): ParseJsonOutcome {
    if (!isUtf8(body)) {
        return refuse(RefusalReason.INVALID_UTF8, "The body is not valid UTF-8.");
    }
    if (getDepth(body) > maximumDepth) {
        return refuse(RefusalReason.NESTED_TOO_DEEPLY, `The body is nested more than ${maximumDepth} levels deep.`);
    }
    const value = parse(body.toString("utf8"));
    if (typeof value !== "object" || !value || Array.isArray(value)) {
        return refuse(RefusalReason.INVALID_JSON, "The body is not a JSON object.");
    }
    return { kind: "parsed", value: value as Record<string, unknown> };
}

/** Parses JSON; returns undefined where it is invalid. */
function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Gets the maximum nesting depth of brackets outside of strings. */
function getDepth(body: Buffer): number {
    let depth = 0;
    let deepest = 0;
    let isInString = false;
    for (let index = 0; index < body.length; index++) {
        const byte = body[index];
        if (isInString) {
            index += byte === backslash ? 1 : 0;
            isInString = byte !== quote;
        }
        else if (byte === quote) {
            isInString = true;
        }
        else if (byte === openBrace || byte === openBracket) {
            depth += 1;
            deepest = Math.max(deepest, depth);
        }
        else if (byte === closeBrace || byte === closeBracket) {
            depth -= 1;
        }
    }
    return deepest;
}

function refuse(reason: RefusalReason, message: string): ParseJsonOutcome {
    return { kind: "invalid", reason, message };
}
