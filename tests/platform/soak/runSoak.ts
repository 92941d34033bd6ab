/*
 * Plays one soak: a deployment of real processes, traffic, faults drawn from a seed, then calm, planned stops, and a last
 * look at what was promised.
 */
import { mkdirSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { createRandomSource } from "../../../src/runtime";
import { createFaultInjector } from "./createFaultInjector";
import { createRunLedger } from "./createRunLedger";
import { soakBounds } from "./soakBounds";
import { SoakFault } from "./SoakFault";
import { soakPorts } from "./soakPorts";
import { startSoakCallers } from "./startSoakCallers";
import { startSoakDeployment } from "./startSoakDeployment";
import { startSoakOperator } from "./startSoakOperator";

const startMilliseconds = 20_000;
const lookMilliseconds = 250;
const longestPauseMilliseconds = 1_200;
const millisecondsPerSecond = 1_000;
/** The part of the requests that must be served again within the bound on recovery. */
const recoveredPart = 0.5;

/** What a soak found. */
export interface SoakResult {
    /** The broken promises. */
    breaches: readonly string[];
    /** What was injected, in order, with its time in milliseconds. */
    faults: readonly string[];
    /** How many requests were served, and how many were sent. */
    served: number;
    sent: number;
}

/**
 * Plays a soak.
 * @param seed - Decides the faults and their times.
 * @param folder - Where the processes keep settings, data and logs.
 * @param faultMilliseconds - How long faults are injected.
 */
export async function runSoak(seed: number, folder: string, faultMilliseconds: number): Promise<SoakResult> {
    mkdirSync(folder, { recursive: true });
    const random = createRandomSource(seed);
    const ledger = createRunLedger();
    const network = `127.${20 + seed % 200}.${Math.floor(seed / 200) % 250}`;
    const deployment = await startSoakDeployment(network, folder, ledger);
    const { callerAddresses, operatorAddresses, entries, controls } = deployment;
    const operator = startSoakOperator({ addresses: operatorAddresses, ledger, random });
    const injector = createFaultInjector(deployment, operator, random);
    const faults: string[] = [];
    const start = Date.now();
    try {
        await operator.change();
        await waitForReadiness();
        const callers = startSoakCallers({ entryAddresses: callerAddresses, ledger, random, isCalm: injector.isCalm });
        await injectFaults();
        await waitForRecovery(callers.getServed);
        await stopAsPlanned();
        await callers.stop();
        if (!await operator.readBack(soakBounds.recovery_s * millisecondsPerSecond)) {
            ledger.addBreach("the newest acknowledged document can't be read back");
        }
        return { breaches: ledger.getBreaches(), faults, ...callers.getServed(0, Infinity) };
    }
    finally {
        operator.stop();
        await deployment.stop();
    }

    async function waitForReadiness(): Promise<void> {
        for (const { ip } of entries) {
            const end = Date.now() + startMilliseconds;
            while (await getReadiness(ip) !== 200) {
                if (Date.now() > end) {
                    throw new Error(`the entry at ${ip} does not become ready`);
                }
                await sleep(lookMilliseconds);
            }
        }
    }

    async function getReadiness(ip: string): Promise<number> {
        const url = `http://${ip}:${soakPorts.readiness}/basilwing/ready`;
        const answer = await request(url, { signal: AbortSignal.timeout(millisecondsPerSecond) }).catch(() =>
            undefined
        );
        await answer?.body.dump();
        return answer?.statusCode ?? 0;
    }

    /** Injects faults one after the other, each before the former ones have ended. */
    async function injectFaults(): Promise<void> {
        const kinds = Object.values(SoakFault);
        const running: Promise<void>[] = [];
        const end = Date.now() + faultMilliseconds;
        while (Date.now() < end) {
            const fault = kinds[random.getInteger(kinds.length)]!;
            faults.push(`${Date.now() - start} ${fault}`);
            running.push(injector.inject(fault));
            await sleep(random.getInteger(longestPauseMilliseconds));
        }
        await Promise.all(running);
    }

    async function waitForRecovery(getServed: ReturnType<typeof startSoakCallers>["getServed"]): Promise<void> {
        const end = Date.now() + soakBounds.recovery_s * millisecondsPerSecond;
        while (true) {
            await sleep(lookMilliseconds);
            const { served, sent } = getServed(
                Date.now() - 2 * millisecondsPerSecond,
                Date.now() - millisecondsPerSecond / 2,
            );
            if (sent > 0 && served >= recoveredPart * sent) {
                return;
            }
            if (Date.now() > end) {
                ledger.addBreach(`${served} of ${sent} requests are served after the bound on recovery`);
                return;
            }
        }
    }

    /** Stops each entry in turn once the deployment is calm, beside changes that are planned too. */
    async function stopAsPlanned(): Promise<void> {
        await sleep(soakBounds.stable_window_ms + lookMilliseconds);
        for (const entry of entries) {
            faults.push(`${Date.now() - start} planned stop of ${entry.ip}`);
            controls[0]!.reload();
            await Promise.all([entry.terminate(), operator.change()]);
            await waitForReadiness();
        }
    }
}
