/*
 * Replays a stored response to a later delivery of the same request.
 */
import { create } from "@bufbuild/protobuf";
import { EndSchema, Header, HeaderSchema, StoredAnswer } from "../../protocol";
import { ResponseEvent } from "../ResponseEvent";

const replayedHeader = create(HeaderSchema, { name: "basilwing-replayed", value: "yes" });

/**
 * Gets the events of a stored response, with a header that marks it as replayed.
 * @param storedAnswer - A response that is stored whole, which is one that isn't truncated.
 */
export function getStoredResponseEvents(storedAnswer: StoredAnswer): readonly ResponseEvent[] {
    const storedHeaders = JSON.parse(Buffer.from(storedAnswer.headersJson).toString("utf8")) as {
        name: string;
        value: string;
    }[];
    const headers: Header[] = storedHeaders.map(header => create(HeaderSchema, header));
    return [
        { kind: "head", status: storedAnswer.status, headers: [...headers, replayedHeader] },
        { kind: "body", data: storedAnswer.body },
        { kind: "end", end: create(EndSchema, {}) },
    ];
}
