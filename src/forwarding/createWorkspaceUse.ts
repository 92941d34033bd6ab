/*
 * Tracks by decaying sums which workspaces use more than their shares. Callers are spread over the entry processes, so that
 * each of them sees the same proportions, with the noise of its few requests.
 */
import { Clock } from "../runtime";
import { WorkspaceUse } from "./WorkspaceUse";

/** The time constant of the decay, in milliseconds: an entry process sees about six requests of a usual workspace in it. */
const decayMilliseconds = 8_000;
/** The multiple of the others' mean use that exceeds a share: the use of six requests of two sizes varies by half by chance. */
const shareMultiple = 3;
/** The use below which a workspace counts as absent, as a share of the largest one's. */
const absentShare = 0.01;

interface DecayingSum {
    sum: number;
    timeMilliseconds: number;
}

/**
 * Creates the use of an entry process that has sent nothing.
 * @param clock - The clock.
 */
export function createWorkspaceUse(clock: Clock): WorkspaceUse {
    const sumsByService = new Map<string, Map<string, DecayingSum>>();
    return { record, isOverShare };

    function record(service: string, workspace: string, work: number): void {
        const sums = sumsByService.get(service) ?? new Map<string, DecayingSum>();
        sumsByService.set(service, sums);
        sums.set(workspace, {
            sum: getSum(sums.get(workspace)) + work,
            timeMilliseconds: clock.getMonotonicMilliseconds(),
        });
    }

    function getSum(value: DecayingSum | undefined): number {
        const ageMilliseconds = clock.getMonotonicMilliseconds() - (value?.timeMilliseconds ?? 0);
        return value ? value.sum * Math.exp(-ageMilliseconds / decayMilliseconds) : 0;
    }

    function isOverShare(service: string, workspace: string): boolean {
        const sums = sumsByService.get(service) ?? new Map<string, DecayingSum>();
        const uses = [...sums].map(([name, value]) => ({ name, use: getSum(value) }));
        const largest = Math.max(0, ...uses.map(({ use }) => use));
        for (const { name, use } of uses) {
            if (use < absentShare * largest) {
                sums.delete(name);
            }
        }
        const others = uses.filter(({ name, use }) => name !== workspace && use >= absentShare * largest);
        const othersUse = others.reduce((sum, { use }) => sum + use, 0);
        return others.length > 0 && getSum(sums.get(workspace)) > shareMultiple * othersUse / others.length;
    }
}
