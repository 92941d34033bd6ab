/*
 * Chooses the control member that a process connects to next, and how long it waits before. The random order
 * distributes processes over the members, and the jitter distributes simultaneous reconnections over time.
 */
import { RandomSource } from "../runtime";
import { MemberRotation } from "./MemberRotation";
import { shuffle } from "./shuffle";
import { StreamEnd } from "./StreamEnd";

const firstDelayMilliseconds = 250;
const maximumDelayMilliseconds = 5_000;
const maximumStaleDelayMilliseconds = 30_000;
const growthFactor = 2;

/**
 * Creates a rotation of the control members.
 * @param members - The members' addresses.
 * @param random - The source of randomness, seeded differently in each process.
 */
export function createMemberRotation(members: readonly string[], random: RandomSource): MemberRotation {
    let order: string[] = [];
    let failures = 0;
    return { getNext, getDelayMilliseconds };

    function getNext(): string {
        if (order.length === 0) {
            order = shuffle([...members], random);
        }
        return order.pop()!;
    }

    function getDelayMilliseconds(end: StreamEnd): number {
        failures = end.wasUseful ? 0 : failures + 1;
        const maximum = end.reason === "stale" ? maximumStaleDelayMilliseconds : maximumDelayMilliseconds;
        const rounds = Math.floor(failures / members.length);
        return random.getFraction() * Math.min(maximum, firstDelayMilliseconds * growthFactor ** rounds);
    }
}
