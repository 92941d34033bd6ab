/*
 * Refuses requests in the entry process, before a claim is opened or a sidecar is called.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { RefusalDetails } from "../RefusalDetails";

/** Sends refusals and counts them. */
export interface RefusalSender {
    /**
     * Refuses a request.
     * @param request - The request.
     * @param response - The response; where its headers have been sent, the refusal is only counted.
     * @param requestId - The request's id.
     * @param details - The reason, message and retry time.
     * @param workspace - The request's workspace; undefined where it is unknown.
     */
    send(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        details: RefusalDetails,
        workspace?: string,
    ): void;
}
