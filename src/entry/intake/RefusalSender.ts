/*
 * Refuses requests at the entry, before claims or sidecars have been asked.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { RefusalDetails } from "../RefusalDetails";

/** Refuses a request and counts the refusal. */
export interface RefusalSender {
    /**
     * Refuses a request.
     * @param workspace - The request's workspace; undefined where it is not known.
     */
    send(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        details: RefusalDetails,
        workspace?: string,
    ): void;
}
