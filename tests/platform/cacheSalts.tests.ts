import { expect } from "chai";
import fc from "fast-check";
import { composeRequestHeaders } from "../../platform/backends/composeRequestHeaders";
import { BackendAttempt, createPromptDescriptor } from "../../src/forwarding";
import { createTestDocument } from "../documents/createTestDocument";
import { createEmptyTestFeedState, createTestInstance, updateTestFeedState } from "../feed/createTestFeed";
import { createTestForwarder } from "../forwarding/createTestForwarder";
import { createTestLink, createTestResponse, overloadedResult } from "../forwarding/createTestLink";
import { createTestReply } from "../forwarding/createTestReply";
import { createTestRequest } from "../forwarding/createTestRequest";
import { createManualClock } from "../support/createManualClock";

describe("createForwarder, with engines whose weights are not known", () => {
    const workspaceNames = ["alpha", "beta"];
    const large = { model: "large", weightsVersion: 1 };

    interface Step {
        /** The weights that the engines are known to have. */
        weights: { model: string; weightsVersion: number; }[][];
        isolated: readonly string[];
        /** Whether the document names the engines' service as one of engines. */
        isEngineService: boolean;
        workspace: string;
        model: string | undefined;
        lastEventId: string | undefined;
        isOverloaded: boolean;
    }

    /** Sends a request in each step, and returns the attempts with the workspaces that were isolated then. */
    async function runSteps(steps: readonly Step[]) {
        const clock = createManualClock();
        const state = createEmptyTestFeedState(clock);
        const sent: { attempt: BackendAttempt; isolated: readonly string[]; }[] = [];
        let step: Step;
        let receiveState: () => void = () => undefined;
        state.addConfirmationListener(() => receiveState());
        const link = createTestLink(attempt => {
            sent.push({ attempt, isolated: step.isolated });
            return step.isOverloaded ? overloadedResult : createTestResponse(["id: 9\ndata: x\n\n"]);
        });
        const forwarder = createTestForwarder(state, link, clock);
        for (const [index, current] of steps.entries()) {
            step = current;
            const services = createTestDocument().services.map(service =>
                service.kind === "engine" && !step.isEngineService ? { ...service, kind: "plain" as const } : service
            );
            const workspaces = workspaceNames.map(name => ({
                name,
                apiKeys: [`${name}-key`],
                priority: 1,
                isIsolated: step.isolated.includes(name),
                quota: undefined,
            }));
            const engines = step.weights.map((weights, number) =>
                createTestInstance({ instanceId: `engine-${number}`, weights })
            );
            receiveState = () =>
                updateTestFeedState(state, clock, engines, { version: index + 1, services, workspaces });
            receiveState();
            const { prompt, ...request } = createTestRequest.createPrompt("/labels/1");
            const ended = forwarder.forward(
                createTestRequest({
                    ...request,
                    prompt: step.model === undefined
                        ? undefined
                        : createPromptDescriptor({ ...prompt!, model: step.model }),
                    requestId: `request-${index}`,
                    apiKey: `${step.workspace}-key`,
                    lastEventId: step.lastEventId,
                    arrivalMilliseconds: clock.getMonotonicMilliseconds(),
                }),
                createTestReply(),
            );
            await clock.advance(3_000);
            await ended;
        }
        return sent;
    }

    function getHeader(attempt: BackendAttempt, name: string): readonly string[] {
        const headers = composeRequestHeaders(attempt);
        return headers.filter((...[, index]) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === name);
    }

    const step: Step = {
        weights: [[], [large]],
        isolated: [],
        isEngineService: true,
        workspace: "alpha",
        model: "large",
        lastEventId: undefined,
        isOverloaded: false,
    };

    function doTest(changes: Partial<Step>, expected: readonly string[]) {
        return async () => {
            const sent = await runSteps(Array.from({ length: 12 }, () => ({ ...step, ...changes })));
            const ids = new Set(sent.map(({ attempt }) => attempt.instance.instanceId));
            expect([...ids].sort()).to.deep.equal(expected);
        };
    }

    // Report of the users: a request used memory of an isolated workspace under the salt "".
    it("sends no request to one without weights", doTest({}, ["engine-1"]));
    it(
        "sends no request to one with other models",
        doTest({ weights: [[{ ...large, model: "other" }], [large]] }, ["engine-1"]),
    );
    it("sends no retry to one without weights", doTest({ isOverloaded: true }, ["engine-1"]));
    it("sends no resumed stream to one without weights", doTest({ lastEventId: "3" }, ["engine-1"]));
    it("sends no request without a model to one without weights", doTest({ model: undefined }, ["engine-1"]));
    it("sends nothing where no weights are known", doTest({ weights: [[], []] }, []));
    it(
        "sends requests whatever the weights to a plain service",
        doTest({ isEngineService: false, weights: [[]] }, ["engine-0"]),
    );

    // The same, for all that is sent: an absent salt is shared with all other requests without one.
    it("sends each request with a salt that no request beyond its workspace's boundary has", async () => {
        const weights = fc.constantFrom<Step["weights"][number]>(
            [],
            [large],
            [{ ...large, weightsVersion: 2 }],
            [{ ...large, model: "other" }],
        );
        const steps = fc.array(
            fc.record<Step>({
                weights: fc.array(weights, { minLength: 1, maxLength: 3 }),
                isolated: fc.subarray(workspaceNames),
                isEngineService: fc.boolean(),
                workspace: fc.constantFrom(...workspaceNames),
                model: fc.constantFrom("large", "other", "Large", undefined),
                lastEventId: fc.constantFrom(undefined, "3"),
                isOverloaded: fc.boolean(),
            }),
            { minLength: 1, maxLength: 6 },
        );
        await fc.assert(
            fc.asyncProperty(steps, async series => {
                const usesBySalt = new Map<string, { workspace: string; version: string; }[]>();
                for (const { attempt, isolated } of await runSteps(series)) {
                    const [salt, ...others] = getHeader(attempt, "basilwing-cache-salt");
                    expect([salt === undefined || salt === "", others]).to.deep.equal([false, []]);
                    const version = getHeader(attempt, "basilwing-expect-version").join();
                    const uses = usesBySalt.get(salt!) ?? [];
                    for (const former of uses) {
                        expect(former.version).to.equal(version);
                        const names = [former.workspace, attempt.workspace!];
                        expect(former.workspace !== attempt.workspace && names.some(name => isolated.includes(name)))
                            .to.equal(false);
                    }
                    usesBySalt.set(salt!, [...uses, { workspace: attempt.workspace!, version }]);
                }
            }),
            { seed: 1, numRuns: 200 },
        );
    });
});
