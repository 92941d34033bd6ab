/*
 * Waits until an answer has left the process.
 */
import { ServerResponse } from "node:http";
import { Clock } from "../runtime";

const maximumFinishMilliseconds = 30_000;

/**
 * Waits until a response that has been ended is handed to the system, or its caller has gone or does not read.
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
        response.destroy();
    }
}
