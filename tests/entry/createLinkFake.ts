/*
 * The links between entries and sidecars, without a network: calls can be refused, lost, late, or broken off.
 */
import { Code, ConnectError, createRouterTransport, type Transport } from "@connectrpc/connect";
import { PeerTransports } from "../../src/protocol";
import { Clock, RandomSource } from "../../src/runtime";

/** What happens to calls over a link. */
export type LinkMode = "ok" | "partitioned" | "lostCalls" | "lateCalls" | "brokenAnswers";

/** One process of a sidecar, as far as links see it. */
export interface LinkEnd {
    /** Adds the sidecar's service. */
    addServices: Parameters<typeof createRouterTransport>[0];
    /** Aborted when the process dies. */
    died: AbortSignal;
}

const lateMilliseconds = 300;
const partitionMilliseconds = 8_000;
const longestAnswer = 4;

export function createLinkFake(
    clock: Clock,
    random: RandomSource,
    getEnd: (address: string) => LinkEnd | undefined,
    isCallerDead: () => boolean,
) {
    let mode: LinkMode = "ok";
    let breaks = 0;
    const inner = new WeakMap<LinkEnd, Transport>();
    const transports: PeerTransports = { getTransport, stop: () => Promise.resolve() };
    return {
        transports,
        setMode: (wanted: LinkMode) => {
            mode = wanted;
        },
        /** Breaks all calls that are open now. */
        breakCalls: () => {
            breaks++;
        },
    };

    function getTransport(address: string): Transport {
        return {
            unary: async (method, signal, ...rest) => {
                const transport = await connect(address, () => getInner(address).unary(method, signal, ...rest));
                const response = await transport.unary(method, signal, ...rest);
                failIfBroken(address);
                return response;
            },
            stream: async (method, signal, timeoutMs, header, input, contextValues) => {
                const call = () => getInner(address).stream(method, signal, timeoutMs, header, input, contextValues);
                const transport = await connect(address, call);
                const end = getEnd(address)!;
                const died = AbortSignal.any([end.died, ...(signal === undefined ? [] : [signal])]);
                const response = await transport.stream(method, died, timeoutMs, header, input, contextValues);
                const breaksAfter = mode === "brokenAnswers" ? random.getInteger(longestAnswer) : undefined;
                return { ...response, message: passOn(response.message, end, breaksAfter) };
            },
        };
    }

    function getInner(address: string): Transport {
        const end = getEnd(address);
        if (end === undefined) {
            throw lose();
        }
        const transport = inner.get(end) ?? createRouterTransport(end.addServices);
        inner.set(end, transport);
        return transport;
    }

    /** Gets the way to a sidecar, or fails as the link is set to. */
    async function connect(address: string, call: () => Promise<unknown>): Promise<Transport> {
        if (isCallerDead()) {
            return new Promise(() => {});
        }
        if (getEnd(address) === undefined) {
            const cause = Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
            throw new ConnectError("unavailable", Code.Unavailable, undefined, undefined, cause);
        }
        switch (mode) {
            case "partitioned":
                await clock.sleep(partitionMilliseconds);
                throw lose();
            case "lostCalls":
                throw lose();
            case "lateCalls":
                void clock.sleep(lateMilliseconds).then(call).then(drain, () => {});
                throw lose();
            default:
                return getInner(address);
        }
    }

    /** Reads a late call's answer, which nobody waits for. */
    async function drain(response: unknown): Promise<void> {
        const { message } = response as { message?: AsyncIterable<unknown>; };
        if (message !== undefined && Symbol.asyncIterator in message) {
            for await (const part of message) {
                void part;
            }
        }
    }

    async function* passOn<Message>(
        messages: AsyncIterable<Message>,
        end: LinkEnd,
        breaksAfter: number | undefined,
    ): AsyncGenerator<Message> {
        const formerBreaks = breaks;
        let passed = 0;
        for await (const message of messages) {
            if (
                breaks !== formerBreaks || end.died.aborted || mode === "partitioned" || passed === breaksAfter
                || isCallerDead()
            ) {
                throw lose();
            }
            passed++;
            yield message;
        }
    }

    function failIfBroken(address: string): void {
        if (mode === "partitioned" || mode === "brokenAnswers" || getEnd(address) === undefined) {
            throw lose();
        }
    }

    function lose(): ConnectError {
        return new ConnectError("the connection was lost", Code.Unavailable);
    }
}
