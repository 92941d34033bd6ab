import { expect } from "chai";
import { Route, RouteKind, RoutingDocument } from "../../src/documents";
import { AttemptResult, BackendAttempt, CallerReply, ForwardedRequest } from "../../src/forwarding";
import { createTestDocument } from "../documents/createTestDocument";
import { createEmptyTestFeedState, createTestInstance, updateTestFeedState } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse, lostResult, overloadedResult } from "./createTestLink";
import { createTestRequest } from "./createTestRequest";

describe("requests whose route changes", () => {
    const timeoutMilliseconds = 5_000;
    const changeIntervalMilliseconds = 20;
    const read: Partial<ForwardedRequest> = {};
    const label = createTestRequest.createPrompt("/labels/1");
    const routes = createTestDocument().routes.map((route): Route => ({
        ...route,
        timeoutMilliseconds,
        targetLatencyMilliseconds: 2_000,
    }));
    const instances = [
        ...["engine-1", "engine-2"].map(instanceId => createTestInstance({ instanceId })),
        ...["actions-1", "actions-2"].map(instanceId =>
            createTestInstance({ instanceId, service: "actions", weights: [] })
        ),
    ];

    const changes: Readonly<Record<string, Partial<RoutingDocument>>> = {
        "shorter time limits": changeRoutes({ timeoutMilliseconds: 1, targetLatencyMilliseconds: 1 }),
        "longer time limits": changeRoutes({ timeoutMilliseconds: 3e9, targetLatencyMilliseconds: 3e9 }),
        "services without servers": {
            ...changeRoutes({ services: [{ service: "others", weight: 1 }] }),
            services: [{ kind: "plain", name: "others", healthPath: "/health", maximumConnections: 0 }],
        },
        "the kind that may not run twice": changeRoutes({ kind: RouteKind.NonIdempotent, maximumAttempts: 1 }),
        "no routes": { routes: [] },
        "no keys": { workspaces: [] },
        "no connections": {
            services: createTestDocument().services.map(service =>
                service.kind === "keptCache" ? service : { ...service, maximumConnections: 0 }
            ),
        },
    };

    function changeRoutes(fields: Partial<Route>): Partial<RoutingDocument> {
        return { routes: routes.map(route => ({ ...route, ...fields })) };
    }

    interface Options {
        requests: readonly Partial<ForwardedRequest>[];
        /** When the first document arrives. */
        stateMilliseconds?: number;
        /** When the backend server answers, after the attempt was sent. */
        answerMilliseconds: number;
        /** What the first attempt comes to; by default, it is answered. */
        first?: "overloaded" | "silent";
        /** The responses of all requests together. */
        expected: string;
    }

    async function run(options: Options, change: Partial<RoutingDocument>): Promise<string> {
        const clock = createManualClock();
        const state = createEmptyTestFeedState(clock);
        let silentId = "";
        const link = createTestLink(respond, instanceId => instanceId !== silentId);
        const forwarder = createTestForwarder(state, link, clock, { maximumDocumentAgeMilliseconds: Infinity });
        const responses: string[] = [];
        const { stateMilliseconds = 0 } = options;
        let version = 0;
        if (stateMilliseconds === 0) {
            applyDocument({ routes });
        }
        for (const [index, fields] of options.requests.entries()) {
            const requestId = `request-${index}`;
            const request = createTestRequest({ requestId, callerMilliseconds: undefined, ...fields });
            void forwarder.forward(request, createReply());
            await clock.advance(0);
        }
        await clock.advance(stateMilliseconds);
        if (stateMilliseconds > 0) {
            applyDocument({ routes });
            await clock.advance(0);
        }
        for (let count = 0; count < 2 * timeoutMilliseconds / changeIntervalMilliseconds; count++) {
            applyDocument(change);
            await clock.advance(changeIntervalMilliseconds);
        }
        return responses.join(", ");

        function applyDocument(fields: Partial<RoutingDocument>): void {
            version += 1;
            updateTestFeedState(state, clock, instances, { ...fields, version });
        }

        async function respond(attempt: BackendAttempt, number: number): Promise<AttemptResult> {
            if (number === 0 && options.first === "silent") {
                silentId = attempt.instance.instanceId;
                await clock.sleep(Infinity, attempt.signal);
                return lostResult;
            }
            await clock.sleep(options.answerMilliseconds, attempt.signal);
            if (attempt.signal.aborted) {
                return lostResult;
            }
            return number === 0 && options.first === "overloaded"
                ? overloadedResult
                : createTestResponse(["id: 1\ndata: x\n\n"]);
        }

        function createReply(): CallerReply {
            const add = (text: string) => void responses.push(`${text} ${clock.getMonotonicMilliseconds()}`);
            return {
                send: ({ status }) => add(String(status)),
                start: () => undefined,
                write: () => Promise.resolve(),
                end: () => add("end"),
                abort: () => add("cut"),
                refuse: ({ kind }) => add(kind),
            };
        }
    }

    function doTest(name: string, options: Options) {
        for (const [changeName, change] of Object.entries(changes)) {
            it(`have one answer each, as the route at their arrival allows it: ${name}, then ${changeName}`, async () =>
                expect(await run(options, change)).to.equal(options.expected));
        }
    }

    doTest("in progress", { requests: [read, label], answerMilliseconds: 4_800, expected: "200 4800, end 4800" });
    doTest("before the first state", {
        requests: [read, label],
        stateMilliseconds: 500,
        answerMilliseconds: 4_300,
        expected: "200 4800, end 4800",
    });
    doTest("behind the prefill of another request", {
        requests: [label, label],
        answerMilliseconds: 700,
        expected: "end 700, end 1400",
    });
    doTest("before a retry", {
        requests: [read],
        answerMilliseconds: 2_000,
        first: "overloaded",
        expected: "200 4000",
    });
    doTest("before a hedge", { requests: [read], answerMilliseconds: 300, first: "silent", expected: "200 700" });
    doTest("at a server that never answers", {
        requests: [{ ...read, path: "/releases/1" }],
        answerMilliseconds: Infinity,
        expected: `unknown ${timeoutMilliseconds}`,
    });
});
