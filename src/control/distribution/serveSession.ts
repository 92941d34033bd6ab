/*
 * One session at a control member, from its first message to its end. One task handles the updates of the process, while the
 * events to be sent to it are read from a queue.
 */
import { SessionEvent, SessionUpdate } from "../../protocol";
import { createAsyncQueue } from "../../runtime";
import { HostedSession } from "./HostedSession";
import { SessionHub } from "./SessionHub";

/**
 * Serves one session with a process.
 * @param hub - The member's sessions.
 * @param updates - What the process sends; the session ends at once unless the first message is its record.
 * @param signal - Ends the session.
 * @returns The events to be sent to the process.
 */
export function serveSession(
    hub: SessionHub,
    updates: AsyncIterable<SessionUpdate>,
    signal: AbortSignal,
): AsyncIterable<SessionEvent> {
    const outgoing = createAsyncQueue<SessionEvent>();
    signal.addEventListener("abort", outgoing.close, { once: true });
    void readUpdates();
    return send();

    async function* send(): AsyncGenerator<SessionEvent> {
        try {
            yield* outgoing;
        }
        finally {
            outgoing.close();
            signal.removeEventListener("abort", outgoing.close);
        }
    }

    /** Handles the updates of the process until there are no more. */
    async function readUpdates(): Promise<void> {
        let session: HostedSession | undefined;
        try {
            for await (const message of updates) {
                if (session !== undefined) {
                    hub.receiveUpdate(session, message);
                }
                else if (message.update.case === "record") {
                    session = hub.open(message.update.value, outgoing);
                }
                else {
                    break;
                }
            }
        }
        catch {
            // A broken connection ends the session like a regular end.
        }
        if (session !== undefined) {
            hub.close(session);
        }
        outgoing.close();
    }
}
