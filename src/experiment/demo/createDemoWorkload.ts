/*
 * Creates the workload of a demonstration.
 */
import { createWorkload, Workload, WorkloadKind } from "../workloads";

const engineCount = 8;
const prefillTokensPerSecond = 20_000;
const load = 0.7;

/**
 * Creates a demonstration's workload, which resembles the Régie's mixed requests.
 * @param seconds - The time during which requests arrive, in seconds.
 * @param seed - The seed; equal arguments give equal requests.
 */
export function createDemoWorkload(seconds: number, seed: number): Workload {
    return createWorkload({ kind: WorkloadKind.Regie, seed, load, seconds, engineCount, prefillTokensPerSecond });
}
