/*
 * A fake of the connections between entry processes and sidecars, without a network: calls can be refused, lost, late
 * or broken off.
 */
import { Code, ConnectError, createRouterTransport, type Transport } from "@connectrpc/connect";
import { PeerTransports } from "../../src/protocol";
import { Clock, RandomSource } from "../../src/runtime";

/** How a link treats calls. */
export type LinkMode = "ok" | "partitioned" | "lostCalls" | "lateCalls" | "brokenResponses";

/** One sidecar process, as the links see it. */
export interface SidecarEndpoint {
    /** Registers the sidecar's services. */
    addServices: Parameters<typeof createRouterTransport>[0];
    /** Aborted when the process terminates. */
    terminated: AbortSignal;
}

const lateCallMilliseconds = 300;
const partitionMilliseconds = 8_000;
const maximumMessagesBeforeBreak = 4;

export function createLinkFake(
    clock: Clock,
    random: RandomSource,
    getEndpoint: (address: string) => SidecarEndpoint | undefined,
    isCallerTerminated: () => boolean,
) {
    let mode: LinkMode = "ok";
    let breakCount = 0;
    const endpointTransports = new WeakMap<SidecarEndpoint, Transport>();
    const transports: PeerTransports = {
        getTransport,
        checkConnection: () => Promise.resolve(false),
        stop: () => Promise.resolve(),
    };
    return {
        transports,
        setMode: (newMode: LinkMode) => {
            mode = newMode;
        },
        /** Breaks off all calls that are open. */
        breakCalls: () => {
            breakCount++;
        },
    };

    function getTransport(address: string): Transport {
        return {
            unary: async (method, signal, ...rest) => {
                const transport = await connect(
                    address,
                    () => getEndpointTransport(address).unary(method, signal, ...rest),
                );
                const response = await transport.unary(method, signal, ...rest);
                checkConnection(address);
                return response;
            },
            stream: async (method, signal, timeoutMs, header, input, contextValues) => {
                const call = () =>
                    getEndpointTransport(address).stream(method, signal, timeoutMs, header, input, contextValues);
                const transport = await connect(address, call);
                const endpoint = getEndpoint(address)!;
                const aborted = AbortSignal.any([endpoint.terminated, ...(signal === undefined ? [] : [signal])]);
                const response = await transport.stream(method, aborted, timeoutMs, header, input, contextValues);
                const maximumMessages = mode === "brokenResponses"
                    ? random.getInteger(maximumMessagesBeforeBreak)
                    : undefined;
                return { ...response, message: forwardMessages(response.message, endpoint, maximumMessages) };
            },
        };
    }

    function getEndpointTransport(address: string): Transport {
        const endpoint = getEndpoint(address);
        if (endpoint === undefined) {
            throw createConnectionError();
        }
        const transport = endpointTransports.get(endpoint) ?? createRouterTransport(endpoint.addServices);
        endpointTransports.set(endpoint, transport);
        return transport;
    }

    /** Gets the transport to a sidecar, or fails according to the link's mode. */
    async function connect(address: string, call: () => Promise<unknown>): Promise<Transport> {
        if (isCallerTerminated()) {
            return new Promise(() => {});
        }
        if (getEndpoint(address) === undefined) {
            const cause = Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
            throw new ConnectError("unavailable", Code.Unavailable, undefined, undefined, cause);
        }
        switch (mode) {
            case "partitioned":
                await clock.sleep(partitionMilliseconds);
                throw createConnectionError();
            case "lostCalls":
                throw createConnectionError();
            case "lateCalls":
                void clock.sleep(lateCallMilliseconds).then(call).then(drain, () => {});
                throw createConnectionError();
            default:
                return getEndpointTransport(address);
        }
    }

    /** Reads a late call's response, which has no receiver. */
    async function drain(response: unknown): Promise<void> {
        const { message } = response as { message?: AsyncIterable<unknown>; };
        if (message !== undefined && Symbol.asyncIterator in message) {
            for await (const part of message) {
                void part;
            }
        }
    }

    async function* forwardMessages<Message>(
        messages: AsyncIterable<Message>,
        endpoint: SidecarEndpoint,
        maximumMessages: number | undefined,
    ): AsyncGenerator<Message> {
        const initialBreakCount = breakCount;
        let forwarded = 0;
        for await (const message of messages) {
            if (
                breakCount !== initialBreakCount || endpoint.terminated.aborted || mode === "partitioned"
                || forwarded === maximumMessages
                || isCallerTerminated()
            ) {
                throw createConnectionError();
            }
            forwarded++;
            yield message;
        }
    }

    function checkConnection(address: string): void {
        if (mode === "partitioned" || mode === "brokenResponses" || getEndpoint(address) === undefined) {
            throw createConnectionError();
        }
    }

    function createConnectionError(): ConnectError {
        return new ConnectError("the connection was lost", Code.Unavailable);
    }
}
