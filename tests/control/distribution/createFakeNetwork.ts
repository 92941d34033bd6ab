import { CallOutcome } from "../../../src/control";
import { Clock, RandomSource } from "../../../src/runtime";

/** Links between nodes that a test cuts and heals; what is under way waits until its link is whole again. */
export interface FakeNetwork {
    cut(from: string, to: string): void;
    heal(): void;
    isOpen(from: string, to: string): boolean;
    /** Calls a node, which may carry the call out long after the caller has given up. */
    call<T>(from: string, to: string, handle: () => T | undefined, timeout: number): Promise<CallOutcome<T>>;
    /** Carries items in order. */
    deliverInOrder<T>(from: string, to: string, items: AsyncIterable<T>): AsyncIterable<T>;
}

const maximumDelayMilliseconds = 8;
const linkPollIntervalMilliseconds = 40;

export function createFakeNetwork(clock: Clock, random: RandomSource): FakeNetwork {
    const cuts = new Set<string>();
    return {
        cut: (from, to) => cuts.add(`${from}>${to}`),
        heal: () => cuts.clear(),
        isOpen,
        call,
        deliverInOrder,
    };

    function isOpen(from: string, to: string): boolean {
        return !cuts.has(`${from}>${to}`);
    }

    async function deliver(from: string, to: string): Promise<void> {
        await clock.sleep(1 + random.getInteger(maximumDelayMilliseconds));
        while (!isOpen(from, to)) {
            await clock.sleep(linkPollIntervalMilliseconds);
        }
    }

    async function call<T>(from: string, to: string, handle: () => T | undefined, timeout: number) {
        const respond = async (): Promise<CallOutcome<T>> => {
            await deliver(from, to);
            const response = handle();
            await deliver(to, from);
            return response === undefined
                ? { kind: "notSent", reason: "down" }
                : { kind: "answered", response };
        };
        const expire = async (): Promise<CallOutcome<T>> => {
            await clock.sleep(timeout);
            return { kind: "unknown", reason: "timeout" };
        };
        return await Promise.race([respond(), expire()]);
    }

    async function* deliverInOrder<T>(from: string, to: string, items: AsyncIterable<T>): AsyncGenerator<T> {
        for await (const item of items) {
            await deliver(from, to);
            yield item;
        }
    }
}
