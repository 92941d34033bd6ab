/*
 * The workload of a demonstration.
 */
import { createWorkload, Workload, WorkloadKind } from "../workloads";

const engineCount = 8;
const prefillTokensPerSecond = 20_000;
const load = 0.7;

/**
 * Creates the Régie's mixed workload.
 * @param seconds - How long requests arrive.
 * @param seed - The seed.
 */
export function createDemoWorkload(seconds: number, seed: number): Workload {
    return createWorkload({ kind: WorkloadKind.Regie, seed, load, seconds, engineCount, prefillTokensPerSecond });
}
