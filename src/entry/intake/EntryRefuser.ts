/*
 * Refuses requests at the entry, before claims or sidecars have been asked.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { RefusalText } from "../RefusalText";

/** Refuses a request and counts the refusal. */
export interface EntryRefuser {
    /**
     * Refuses a request.
     * @param workspace - The request's workspace; undefined where it is not known.
     */
    refuse(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        text: RefusalText,
        workspace?: string,
    ): void;
}
