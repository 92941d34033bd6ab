/*
 * Slows processes as machines do whose share of a core is an allotment: each is stopped for a part of each tenth of a second.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { SoakProcess } from "./SoakProcess";
import { startSeries } from "./startSeries";

const periodMilliseconds = 100;

/**
 * Starts the pulses, each process in a phase of its own.
 * @param processes - The processes.
 * @param stoppedShare - The share of the time for which each is stopped, from 0 (none) to below 1.
 * @returns Ends the pulses, and lets all processes run.
 */
export function startPulses(processes: readonly SoakProcess[], stoppedShare: number): () => Promise<void> {
    if (stoppedShare === 0) {
        return () => Promise.resolve();
    }
    const stops = processes.map((process, index) => {
        let phaseMilliseconds = periodMilliseconds * index / processes.length;
        return startSeries(async () => {
            await sleep(phaseMilliseconds);
            phaseMilliseconds = 0;
            await process.pause(periodMilliseconds * stoppedShare);
            await sleep(periodMilliseconds * (1 - stoppedShare));
        });
    });
    return async () => {
        await Promise.all(stops.map(stop => stop()));
    };
}
