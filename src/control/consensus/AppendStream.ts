/*
 * A leader's way to one member.
 */
import { AppendRequest, AppendResponse } from "../../protocol";

/** Sends a leader's messages to one address over one stream, which is opened anew when it breaks. */
export interface AppendStream {
    /** Sends a message; undefined where no answer came in time. */
    send(request: AppendRequest): Promise<AppendResponse | undefined>;
}
