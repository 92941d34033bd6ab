import { CallOutcome } from "../../../src/control";
import { Clock, RandomSource } from "../../../src/runtime";

/** A fake network whose one-way links a test cuts and heals; messages on a cut link wait until it is healed. */
export interface FakeNetwork {
    cut(from: string, to: string): void;
    heal(): void;
    isOpen(from: string, to: string): boolean;
    /** Calls a node, which may carry out the call long after the caller's timeout. */
    call<T>(from: string, to: string, handle: () => T | undefined, timeout: number): Promise<CallOutcome<T>>;
    /** Delivers items in order. */
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
