/*
 * Collects the response of a plain service from its events, and discards a body that is too long to be stored.
 */
import { create } from "@bufbuild/protobuf";
import { DispatchEvent, ResponseHead, StoredAnswer, StoredAnswerSchema } from "../protocol";
import { ResponseCollector } from "./ResponseCollector";

const defaultMaximumBodyBytes = 262_144;

/**
 * Creates the collector of one response.
 * @param maximumBodyBytes - The size of the longest body that is stored.
 */
export function createResponseCollector(maximumBodyBytes = defaultMaximumBodyBytes): ResponseCollector {
    let head: ResponseHead | undefined;
    const bodyParts: Uint8Array[] = [];
    let bodyBytes = 0;
    let isComplete = false;
    return { addEvent, getResponse };

    function addEvent(event: DispatchEvent["event"]): void {
        switch (event.case) {
            case "head":
                head = event.value;
                break;
            case "body":
                addBody(event.value.data);
                break;
            case "end":
                isComplete = head !== undefined;
                break;
            default:
                break;
        }
    }

    function addBody(data: Uint8Array): void {
        bodyBytes += data.length;
        if (bodyBytes > maximumBodyBytes) {
            bodyParts.length = 0;
            return;
        }
        bodyParts.push(data);
    }

    function getResponse(): StoredAnswer | undefined {
        if (!isComplete || head === undefined) {
            return undefined;
        }
        const headers = head.headers.map(({ name, value }) => ({ name, value }));
        return create(StoredAnswerSchema, {
            status: head.status,
            headersJson: Buffer.from(JSON.stringify(headers)),
            body: bodyBytes > maximumBodyBytes ? new Uint8Array() : Buffer.concat(bodyParts),
            truncated: bodyBytes > maximumBodyBytes,
        });
    }
}
