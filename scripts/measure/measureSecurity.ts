/*
 * Measures the cost of TLS between processes per connection, call and stream message, with both ends in this process, and
 * the cost of checking a key. Prints a line of JSON for each figure.
 */
import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import {
    ControlService,
    createPeerTransports,
    PeerTransports,
    SessionUpdate,
    SessionUpdateSchema,
    startInternalServer,
} from "../../src/protocol";
import { createKeyDigest, isKeyAccepted, TlsIdentity } from "../../src/security";
import { createTestAuthority } from "../../tests/security/createTestAuthority";
import { createTestIdentity } from "../../tests/security/createTestIdentity";

const connections = 100;
const calls = 1_000;
const streamRounds = 2;
const messagesPerRound = 2_000;
const digests = 50_000;
const clients = 32;
const rounds = 5;
const costs = new Map<string, Cost[]>();
const payload = "a".repeat(200);

interface Cost {
    processorMicroseconds: number;
    wallMicroseconds: number;
}

/** Measures the cost of one action, after a warm-up with a tenth of the actions. */
async function measure(count: number, act: (count: number) => Promise<void>): Promise<Cost> {
    await act(Math.ceil(count / 10));
    const before = process.cpuUsage();
    const start = performance.now();
    await act(count);
    const { user, system } = process.cpuUsage(before);
    const wallMicroseconds = (performance.now() - start) * 1_000 / count;
    return { processorMicroseconds: (user + system) / count, wallMicroseconds };
}

function print(name: string, value: number, unit: string): void {
    console.log(JSON.stringify({ name, value: Math.round(value * 10) / 10, unit }));
}

/** Adds the cost of one kind of action in one round. */
function addCost(name: string, cost: Cost): void {
    costs.set(name, [...costs.get(name) ?? [], cost]);
}

/** Prints the median of the costs of each kind of action over all rounds. */
function printCosts(): void {
    for (const [name, values] of costs) {
        print(`${name}.processor`, getMedian(values.map(cost => cost.processorMicroseconds)), "microseconds");
        print(`${name}.wall`, getMedian(values.map(cost => cost.wallMicroseconds)), "microseconds");
    }
}

/** Gets the median of an odd number of values. */
function getMedian(values: readonly number[]): number {
    return [...values].sort((first, second) => first - second)[Math.floor(values.length / 2)]!;
}

/** Yields the messages of one stream, each after `signal.next` has resolved. */
async function* createUpdates(count: number, signal: { next: Promise<void>; }): AsyncIterable<SessionUpdate> {
    for (let number = 0; number < count; number += 1) {
        await signal.next;
        yield create(SessionUpdateSchema, {
            update: { case: "orderReport", value: { succeeded: true, reason: payload } },
        });
    }
}

/** Measures connections, calls and stream messages with or without TLS. */
async function measureInterface(
    name: string,
    serverIdentity?: TlsIdentity,
    clientIdentities: TlsIdentity[] = [],
): Promise<void> {
    const server = await startInternalServer({ address: "127.0.0.1", port: 0 }, router => {
        router.service(ControlService, {
            query: () => ({ index: 1n }),
            async *session(updates) {
                for await (const update of updates) {
                    yield {
                        event: { case: "directory", value: { directoryNumber: BigInt(update.update.case!.length) } },
                    };
                }
            },
        });
    }, { identity: serverIdentity });
    let connected = 0;
    addCost(`security.${name}.connection`, await measure(connections, connectOften));
    addCost(`security.${name}.call`, await measure(calls, callOften));
    addCost(`security.${name}.streamMessage`, await measure(streamRounds * messagesPerRound, streamOften));
    await server.stop();

    /** Creates transports as the next client in turn, so that no peer exceeds its limits. */
    function connect(): PeerTransports {
        connected += 1;
        return createPeerTransports({ identity: clientIdentities[connected % clientIdentities.length] });
    }

    async function connectOften(count: number): Promise<void> {
        for (let number = 0; number < count; number += 1) {
            const transports = connect();
            await createClient(ControlService, transports.getTransport(server.address)).query({});
            await transports.stop();
        }
    }

    async function callOften(count: number): Promise<void> {
        const transports = connect();
        const client = createClient(ControlService, transports.getTransport(server.address));
        for (let number = 0; number < count; number += 1) {
            await client.query({});
        }
        await transports.stop();
    }

    async function streamOften(count: number): Promise<void> {
        for (let sent = 0; sent < count; sent += messagesPerRound) {
            const transports = connect();
            const client = createClient(ControlService, transports.getTransport(server.address));
            const signal = { next: Promise.resolve() };
            let received = 0;
            for await (const event of client.session(createUpdates(Math.min(count, messagesPerRound), signal))) {
                received += Number(event.event.case === "directory");
            }
            if (received !== Math.min(count, messagesPerRound)) {
                throw new Error(`received ${received} responses`);
            }
            await transports.stop();
        }
    }
}

/** Measures the check of a key against two accepted digests, of which none matches. */
async function measureKeys(): Promise<void> {
    const accepted = [createKeyDigest("old"), createKeyDigest("new")];
    addCost(
        "security.keyCheck",
        await measure(digests, async count => {
            for (let number = 0; number < count; number += 1) {
                isKeyAccepted(`key-${number}`, accepted);
            }
        }),
    );
}

async function run(): Promise<void> {
    const authority = createTestAuthority("measured");
    const control = createTestIdentity(authority.issue({ names: ["basilwing://control/member-1"] }));
    const entries = Array.from({ length: clients }, (...[, number]) => {
        const entry = createTestIdentity(authority.issue({ names: [`basilwing://entry/entry-${number}`] }));
        const secureContext = entry.getSecureContext();
        return { ...entry, getSecureContext: () => secureContext };
    });
    for (let round = 0; round < rounds; round += 1) {
        await measureInterface("plain");
        await measureInterface("tls", control, entries);
        await measureKeys();
    }
    printCosts();
}

void run();
