/*
 * Waits until entry processes are ready.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { soakPorts } from "./soakPorts";
import { SoakProcess } from "./SoakProcess";

const readinessTimeoutMilliseconds = 20_000;
const pollIntervalMilliseconds = 250;
const requestTimeoutMilliseconds = 1_000;

/**
 * Waits until each entry process is ready.
 * @throws An error where one doesn't become ready in time.
 */
export async function waitForReadiness(entries: readonly SoakProcess[]): Promise<void> {
    for (const { ip } of entries) {
        const end = Date.now() + readinessTimeoutMilliseconds;
        while (await getReadinessStatus(ip) !== 200) {
            if (Date.now() > end) {
                throw new Error(`the entry at ${ip} does not become ready`);
            }
            await sleep(pollIntervalMilliseconds);
        }
    }
}

async function getReadinessStatus(ip: string): Promise<number> {
    const url = `http://${ip}:${soakPorts.readiness}/basilwing/ready`;
    const response = await request(url, { signal: AbortSignal.timeout(requestTimeoutMilliseconds) }).catch(() =>
        undefined
    );
    await response?.body.dump();
    return response?.statusCode ?? 0;
}
