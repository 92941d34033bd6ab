/*
 * Gives a kept answer again.
 */
import { create } from "@bufbuild/protobuf";
import { EndSchema, Header, HeaderSchema, StoredAnswer } from "../../protocol";
import { AnswerEvent } from "../AnswerEvent";

const replayedHeader = create(HeaderSchema, { name: "basilwing-replayed", value: "yes" });

/** Gets the events of an answer that is kept whole. */
export function getStoredResponseEvents(storedAnswer: StoredAnswer): readonly AnswerEvent[] {
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
