/*
 * Waits until responses have been handed over to the operating system.
 */
import { ServerResponse } from "node:http";
import { breakOffResponse, Clock } from "../runtime";

const maximumFinishMilliseconds = 30_000;

/**
 * Waits until a response that has ended is handed over to the operating system, or the caller has disconnected. Where
 * the caller does not read the response in time, destroys it.
 * @param clock - The source of time.
 * @param response - The response; one that has not ended is not waited for.
 * @param connectionClosed - Aborted when the caller's connection has closed.
 */
export async function waitForFinish(
    clock: Clock,
    response: ServerResponse,
    connectionClosed: AbortSignal,
): Promise<void> {
    const isOver = response.writableFinished || response.destroyed || connectionClosed.aborted;
    if (!response.writableEnded || isOver) {
        return;
    }
    const finished = new AbortController();
    const finish = () => finished.abort();
    response.once("finish", finish);
    response.once("close", finish);
    connectionClosed.addEventListener("abort", finish, { once: true });
    await clock.sleep(maximumFinishMilliseconds, finished.signal);
    if (!finished.signal.aborted) {
        breakOffResponse(response);
    }
}
