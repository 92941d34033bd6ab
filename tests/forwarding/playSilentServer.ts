import { AttemptResult, BackendAttempt, ForwardedRequest, ForwarderOptions } from "../../src/forwarding";
import { FleetInstance } from "../../src/protocol";
import { createTestDocument } from "../documents/createTestDocument";
import { createEmptyTestFeedState, createTestInstance, updateTestFeedState } from "../feed/createTestFeed";
import { createManualClock, ManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

/** What happens in a play of a silent server. */
export interface SilentServerOptions {
    /** What the caller asks for. */
    request: Partial<ForwardedRequest>;
    /** The parts of the response of the first server. */
    parts: readonly string[];
    /** The number of parts that it sends before it is silent. */
    partsBeforeSilence: number;
    /** How long it is silent, its probes too. */
    silentMilliseconds: number;
    /** What the other servers do. */
    respond(attempt: BackendAttempt, clock: ManualClock): AttemptResult | Promise<AttemptResult>;
    /** The backend servers besides the plain ones; by default three engines. */
    engines?: readonly FleetInstance[];
    /** When the caller leaves, in milliseconds; by default never. */
    leavesAfterMilliseconds?: number;
    /** Options of the forwarder that replace the default ones. */
    changes?: Partial<ForwarderOptions>;
}

const routes = createTestDocument().routes.map(route => ({ ...route, timeoutMilliseconds: 15_000 }));
const plainServers = ["actions-1", "actions-2"].map(instanceId =>
    createTestInstance({ instanceId, service: "actions", weights: [] })
);

/** Forwards a request whose first server is silent for a while and goes on; returns what the caller and servers saw. */
export async function playSilentServer(options: SilentServerOptions) {
    const { parts, partsBeforeSilence, silentMilliseconds, leavesAfterMilliseconds = Infinity } = options;
    const engines = options.engines
        ?? ["engine-1", "engine-2", "engine-3"].map(instanceId => createTestInstance({ instanceId }));
    const clock = createManualClock();
    const state = createEmptyTestFeedState(clock);
    updateTestFeedState(state, clock, [...engines, ...plainServers], { routes });
    let firstInstanceId: string | undefined;
    const link = createTestLink(
        (attempt, number) => {
            if (number > 0) {
                return options.respond(attempt, clock);
            }
            firstInstanceId = attempt.instance.instanceId;
            return startSilentResponse(attempt);
        },
        instanceId => instanceId !== firstInstanceId || clock.getMonotonicMilliseconds() >= silentMilliseconds,
    );
    const reply = createTestReply();
    const caller = new AbortController();
    const forwarder = createTestForwarder(state, link, clock, options.changes);
    const request = createTestRequest({ callerMilliseconds: 15_000, signal: caller.signal, ...options.request });
    const ended = forwarder.forward(request, reply);
    if (leavesAfterMilliseconds < Infinity) {
        await clock.advance(leavesAfterMilliseconds);
        caller.abort();
    }
    await clock.advance(16_000);
    await ended;
    return { text: reply.getText(), refusal: reply.getRefusal(), attempts: link.attempts };

    /** Sends the first parts, is silent, and sends the others unless the attempt has ended by then. */
    async function startSilentResponse(attempt: BackendAttempt): Promise<AttemptResult> {
        const hasEnded = () => attempt.signal.aborted || attempt.goneSignal.aborted;
        if (partsBeforeSilence === 0) {
            await wait();
        }
        if (hasEnded()) {
            return { kind: "lost", reason: "the request has ended" };
        }
        return {
            ...createTestResponse([]) as Extract<AttemptResult, { kind: "answered"; }>,
            body: (async function*() {
                for (const [index, part] of parts.entries()) {
                    if (index > 0 && index === partsBeforeSilence) {
                        await wait();
                    }
                    if (hasEnded()) {
                        return;
                    }
                    attempt.onActivity();
                    yield Buffer.from(part);
                }
            })(),
            hold: () => undefined,
            isComplete: () => !hasEnded(),
        };

        function wait(): Promise<void> {
            return Promise.race(
                [attempt.signal, attempt.goneSignal].map(signal => clock.sleep(silentMilliseconds, signal)),
            );
        }
    }
}
