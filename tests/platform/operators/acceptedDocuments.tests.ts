import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import * as fc from "fast-check";
import { decodeDocument } from "../../../platform/operators";
import { createFeedState } from "../../../src/feed";
import { CallerReply, createPromptDescriptor, ForwardedRequest } from "../../../src/forwarding";
import { createSilentLogger } from "../../../src/logging";
import { readClocks } from "../../../src/membership";
import { FleetViewSchema, PollOutcome, PollResponseSchema } from "../../../src/protocol";
import { createTestInstance } from "../../feed/createTestFeed";
import { createTestForwarder } from "../../forwarding/createTestForwarder";
import { createTestLink, createTestResponse, lostResult, overloadedResult } from "../../forwarding/createTestLink";
import { createTestRequest } from "../../forwarding/createTestRequest";
import { createManualClock } from "../../support/createManualClock";

describe("requests beside accepted documents with extreme values", () => {
    const paths = ["/reads/", "/releases/", "/summaries/"];
    const instances = [
        ...["engine-1", "engine-2", "engine-3"].map(instanceId => createTestInstance({ instanceId })),
        ...["actions-1", "actions-2", "actions-3"].map(instanceId =>
            createTestInstance({ instanceId, service: "actions", weights: [] })
        ),
    ];

    /** A request: when it is sent after the step before, and how the backend servers respond. */
    interface RequestStep {
        kind: "request";
        path: string;
        hasPrompt: boolean;
        callerMilliseconds: number | undefined;
        /** How long a backend server takes. */
        delayMilliseconds: number;
        /** How many backend servers refuse it before one runs it. */
        refusalCount: number;
    }
    type Step = RequestStep | { kind: "document"; json: object; } | { kind: "wait"; milliseconds: number; };

    const positiveNumbers = fc.constantFrom(0.5, 30, 400, 1_500, 2_500, 3e9, 1e308);
    const numbers = fc.oneof(fc.constant(0), positiveNumbers);
    const integers = fc.constantFrom(0, 1, 9, 100, 3e9, 1e308);
    const weights = fc.constantFrom(0, Number.MIN_VALUE, 1e-300, 0.1, 0.2, 1, 1e308);
    const serviceNames = fc.constantFrom("models", "actions");
    const optional = { requiredKeys: [] };
    const routeFields = fc.record({
        kind: fc.constantFrom("safe", "unsafe", "stream"),
        timeout_ms: positiveNumbers,
        service: serviceNames,
    });
    const optionalRouteFields = fc.record({
        target_latency_ms: numbers,
        priority: integers,
        traffic_split: fc.array(fc.record({ service: serviceNames, weight: weights }), { minLength: 1, maxLength: 3 }),
        max_attempts: fc.constantFrom(1, 2, 1e308),
        public: fc.boolean(),
        resumable: fc.boolean(),
        target_gap_ms: numbers,
    }, optional);
    const serviceFields = fc.record({ health_path: fc.string({ maxLength: 4 }), max_connections: integers }, optional);
    const engineFields = fc.record({
        slots: integers,
        kv_capacity_tokens: integers,
        models: fc.constantFrom([], [{ name: "large" }], [{ name: "large" }, { name: "large" }]),
    }, optional);
    const documents = fc.record({
        routes: fc.tuple(
            fc.subarray(paths, { minLength: 2 }),
            fc.array(fc.tuple(routeFields, optionalRouteFields), { minLength: 3 }),
        ).map(
            ([usedPaths, fields]) =>
                usedPaths.map((path, index) => ({
                    name: path,
                    host: "one.example",
                    path_prefix: path,
                    ...fields[index]![0],
                    ...fields[index]![1],
                })),
        ),
        services: fc.tuple(serviceFields, serviceFields, fc.option(engineFields, { nil: undefined })).map(
            ([models, actions, engine]) => [
                { name: "models", ...models, engine },
                { name: "actions", ...actions },
                { name: "store", kv_store_addr: "10.0.0.9:80", kv_capacity_tokens: 0 },
            ],
        ),
        limits: fc.record({
            max_header_bytes: integers,
            max_body_bytes: integers,
            header_timeout_ms: numbers,
            idle_timeout_ms: numbers,
        }, optional),
        tenants: fc.option(
            fc.constantFrom(...[["alpha-key"], ["alpha-key", "other-key"], []].map(keys => [{
                name: "alpha",
                api_keys: keys,
                isolated: keys.length > 0,
            }])),
            { nil: undefined },
        ),
    });
    const steps: fc.Arbitrary<Step> = fc.oneof(
        fc.record({ kind: fc.constant("wait" as const), milliseconds: fc.constantFrom(1, 30, 200, 800) }),
        fc.record({ kind: fc.constant("document" as const), json: documents }),
        {
            weight: 4,
            arbitrary: fc.record({
                kind: fc.constant("request" as const),
                path: fc.constantFrom(...paths),
                hasPrompt: fc.boolean(),
                callerMilliseconds: fc.constantFrom(undefined, undefined, 600, 2_000),
                delayMilliseconds: fc.constantFrom(0, 5, 100, 1_000, 1_800, 100_000),
                refusalCount: fc.constantFrom(0, 0, 0, 1, 2),
            }),
        },
    );

    function createFixture() {
        const clock = createManualClock();
        const state = createFeedState({ decode: decodeDocument, clock, logger: createSilentLogger() });
        const requestSteps = new Map<string, RequestStep>();
        const refusalCounts = new Map<string, number>();
        const link = createTestLink(async ({ request: { requestId }, signal }) => {
            const { delayMilliseconds, refusalCount } = requestSteps.get(requestId)!;
            const refused = refusalCounts.get(requestId) ?? 0;
            refusalCounts.set(requestId, refused + 1);
            if (refused < refusalCount) {
                return overloadedResult;
            }
            await clock.sleep(delayMilliseconds, signal);
            return signal.aborted ? lostResult : createTestResponse(["id: 1\ndata: x\n\n"]);
        });
        const forwarder = createTestForwarder(state, link, clock, {
            maximumDocumentAgeMilliseconds: Infinity,
            retryReserve: 1_000,
            retryWindowMilliseconds: 0,
        });
        return { clock, state, requestSteps, forwarder };
    }

    /** Counts the ends of a response; returns why the request was refused, or the status. */
    function createCountingReply() {
        let endCount = 0;
        let status: number | undefined;
        const end = () => void (endCount += 1);
        const reply: CallerReply = {
            send: head => {
                status = head.status;
                end();
            },
            start: head => status = head.status,
            write: () => Promise.resolve(),
            end,
            abort: end,
            refuse: end,
        };
        return { reply, getEndCount: () => endCount, getStatus: () => status };
    }

    /** Runs the steps; returns a description of each request that did not end as it must. */
    async function run(sequence: readonly Step[]): Promise<readonly string[]> {
        const { clock, state, requestSteps, forwarder } = createFixture();
        const requests: { isOwed: boolean; step: RequestStep; counting: ReturnType<typeof createCountingReply>; }[] =
            [];
        const problems: string[] = [];
        let version = 0;
        for (const step of sequence) {
            switch (step.kind) {
                case "document":
                    applyDocument(step.json);
                    break;
                case "wait":
                    await clock.advance(step.milliseconds);
                    break;
                case "request":
                    await send(step);
                    break;
            }
        }
        await clock.advance(110_000);
        requests.forEach(({ isOwed, step, counting }) => {
            if (counting.getEndCount() !== 1 || isOwed && counting.getStatus() !== 200) {
                problems.push(`${counting.getEndCount()} ends, ${counting.getStatus()}: ${JSON.stringify(step)}`);
            }
        });
        return problems;

        function applyDocument(json: object): void {
            version += 1;
            const document = Buffer.from(JSON.stringify({ version, ...json }));
            if (decodeDocument(document).kind === "invalid") {
                return;
            }
            const response = create(PollResponseSchema, {
                outcome: PollOutcome.CURRENT,
                documentVersion: BigInt(version),
                document,
                fleetRevision: "1.1",
                fleet: create(FleetViewSchema, { instances }),
                entryCount: 1,
            });
            state.applyResponse(response, readClocks(clock));
        }

        async function send(step: RequestStep): Promise<void> {
            const requestId = `request-${requests.length}`;
            requestSteps.set(requestId, step);
            const counting = createCountingReply();
            requests.push({ isOwed: isOwed(step), step, counting });
            const fields: Partial<ForwardedRequest> = {
                requestId,
                path: step.path,
                target: step.path,
                callerMilliseconds: step.callerMilliseconds,
                arrivalMilliseconds: clock.getMonotonicMilliseconds(),
                prompt: step.hasPrompt
                    ? createPromptDescriptor({
                        model: "large",
                        parts: [{ id: requestId, tokens: 500 }],
                        promptTokens: 500,
                        maximumOutputTokens: 80,
                    })
                    : undefined,
            };
            forwarder.forward(createTestRequest(fields), counting.reply)
                .catch((thrown: unknown) => problems.push(`threw ${String(thrown)}: ${JSON.stringify(step)}`));
            await clock.advance(0);
        }

        /** Returns whether the document in force admits a request and leaves a backend server the time that it takes. */
        function isOwed({ path, callerMilliseconds = Infinity, delayMilliseconds }: RequestStep): boolean {
            const table = state.getRouteTable();
            const route = table?.getRoute("one.example", path);
            const isAdmitted = route?.isPublic || !table?.document.workspaces || table.getWorkspace("alpha-key");
            const limitMilliseconds = Math.min(route?.timeoutMilliseconds ?? 0, 0.95 * callerMilliseconds);
            return route !== undefined && Boolean(isAdmitted) && limitMilliseconds > Math.max(25, delayMilliseconds);
        }
    }

    function doTest(seed: number) {
        it(`end with one answer each, and a sound server's answer where there is time for it, seed ${seed}`, () =>
            fc.assert(
                fc.asyncProperty(
                    documents,
                    fc.array(steps, { minLength: 5, maxLength: 30 }),
                    async (json, sequence) => {
                        expect(await run([{ kind: "document", json }, ...sequence])).to.deep.equal([]);
                    },
                ),
                { seed, numRuns: 150 },
            ));
    }

    doTest(1);
    doTest(2);
});
