/*
 * One session at a control member, from its first message to its end: one task takes in what the process sends, while
 * what is to be sent to it is read from a queue.
 */
import { SessionEvent, SessionUpdate } from "../../protocol";
import { createAsyncQueue } from "../../runtime";
import { HostedSession } from "./HostedSession";
import { SessionHub } from "./SessionHub";

/**
 * Serves one session.
 * @param hub - The member's sessions.
 * @param updates - What the process sends; the first message is its record.
 * @param signal - Ends the session.
 * @returns What is to be sent to the process.
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

    /** Takes in what the process sends until it sends no more. */
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
            // The connection broke, which ends the session like any other end.
        }
        if (session !== undefined) {
            hub.close(session);
        }
        outgoing.close();
    }
}
