/*
 * A client of the run log of another replica, for replicas in separate processes.
 */
import { request } from "undici";
import { RunLog } from "./RunLog";

/**
 * Creates the client of a run log.
 * @param address - The replica that holds the log, as `http://ip:port`.
 */
export function createRunLogClient(address: string): RunLog {
    return { addRun, getRuns };

    async function addRun(action: string, key: string, requestId: string): Promise<number> {
        const body = JSON.stringify({ action, key, requestId });
        const response = await request(`${address}/run-log`, { method: "POST", body });
        return (await response.body.json() as { runs: number; }).runs;
    }

    async function getRuns(action: string, key: string): Promise<number> {
        const query = new URLSearchParams({ action, key });
        const response = await request(`${address}/status?${query.toString()}`);
        return (await response.body.json() as { runs: number; }).runs;
    }
}
