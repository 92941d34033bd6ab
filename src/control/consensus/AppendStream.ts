/*
 * The stream on which a leader sends AppendEntries messages to one member.
 */
import { AppendRequest, AppendResponse } from "../../protocol";

/** Sends a leader's AppendEntries messages to one address over one stream, which is reopened after a failure. */
export interface AppendStream {
    /**
     * Sends a message.
     * @param request - The entries or the heartbeat.
     * @returns The response; undefined where none arrived before the timeout or the stream failed.
     */
    send(request: AppendRequest): Promise<AppendResponse | undefined>;
}
