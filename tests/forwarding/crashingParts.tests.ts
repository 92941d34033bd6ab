import { expect } from "chai";
import { InstanceState } from "../../src/crashQuarantine";
import { BackendLink, createForwarder, createPlannedStop, createPromptDescriptor } from "../../src/forwarding";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createRandomSource } from "../../src/runtime";
import { createTestCrashQuarantine } from "../crashQuarantine/createTestCrashQuarantine";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createTestServerLimits } from "../serverLimits/createTestServerLimits";
import { createTestStreamOrigins } from "../streamOrigins/createTestStreamOrigins";
import { createManualClock } from "../support/createManualClock";
import { unlimitedQuotas } from "../workspaceQuotas/unlimitedQuotas";
import { createTestLink, createTestResponse } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("createForwarder, with a part of prompts that crashes engines", () => {
    const crashingPart = "bad";
    const intervalMilliseconds = 100;
    const crashesUntilDecided = 5;
    const decisionMilliseconds = 3_000;

    /** Sends a request every 100 ms, of which every fourth one holds the part, to eight engines that are soon back. */
    async function runTraffic() {
        const clock = createManualClock();
        const instances = Array.from(
            { length: 8 },
            (...[, index]) => createTestInstance({ instanceId: `engine-${index}`, address: `10.0.0.${index}:80` }),
        );
        const crashTimes: number[] = [];
        const arrivalTimes: number[] = [];
        const engines = instances.map(instance => ({ instance, downUntilMilliseconds: 0 }));
        const isDown = (id: string) =>
            engines.find(({ instance }) => instance.instanceId === id)!.downUntilMilliseconds
                > clock.getMonotonicMilliseconds();
        const testLink = createTestLink(attempt => {
            const { instanceId } = attempt.instance;
            if (isDown(instanceId)) {
                return { kind: "notSent", reason: "connect ECONNREFUSED" };
            }
            if (!attempt.request.prompt?.parts.some(part => part.id === crashingPart)) {
                return createTestResponse(["id: 1\ndata: x\n\n"]);
            }
            arrivalTimes.push(clock.getMonotonicMilliseconds());
            crashTimes.push(clock.getMonotonicMilliseconds());
            engines.find(({ instance }) => instance.instanceId === instanceId)!.downUntilMilliseconds =
                clock.getMonotonicMilliseconds() + 500;
            return createTestResponse([], false);
        });
        const link: BackendLink = {
            ...testLink,
            checkInstance: ({ instanceId }) =>
                Promise.resolve(isDown(instanceId) ? InstanceState.Refusing : InstanceState.Serving),
        };
        const state = createTestFeedState(clock, instances, { workspaces: undefined });
        const forwarder = createForwarder({
            plannedStop: createPlannedStop(clock),
            pollConnections: () => Promise.resolve(),
            facts: createTestFactStore(clock),
            state,
            link,
            crashQuarantine: createTestCrashQuarantine({ state, link, clock }),
            serverLimits: createTestServerLimits(state, clock),
            streamOrigins: createTestStreamOrigins(),
            workspaceQuotas: unlimitedQuotas,
            kvCacheStores: { isReachable: () => false, hasPart: () => false },
            dataCentre: "west",
            signal: new AbortController().signal,
            maximumDocumentAgeMilliseconds: 3_500,
            supersededWeightsGraceMilliseconds: 10_000,
            retryShare: 0.2,
            retryReserve: 50,
            retryWindowMilliseconds: 0,
            clock,
            random: createRandomSource(1),
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        const sound = { late: 0, lateBegun: 0 };
        for (let count = 0; count < 200; count++) {
            const isSound = count % 4 !== 0;
            const reply = createTestReply();
            const { prompt, ...request } = createTestRequest.createPrompt("/labels/1");
            const parts = isSound ? ["a1", "c" + count % 3] : ["a1", crashingPart];
            const arrivalMilliseconds = clock.getMonotonicMilliseconds();
            void forwarder.forward(
                createTestRequest({
                    ...request,
                    requestId: `request-${count}`,
                    prompt: createPromptDescriptor({
                        ...prompt!,
                        parts: [...parts, `d${count}`].map(id => ({ id, tokens: 100 })),
                    }),
                    arrivalMilliseconds,
                }),
                reply,
            );
            await clock.advance(intervalMilliseconds);
            if (isSound && arrivalMilliseconds > getDecidedTime() + decisionMilliseconds) {
                sound.late += 1;
                sound.lateBegun += reply.getText().startsWith("200") ? 1 : 0;
            }
        }
        return { lateArrivals: arrivalTimes.filter(time => time > getDecidedTime() + decisionMilliseconds), sound };

        function getDecidedTime(): number {
            return crashTimes[crashesUntilDecided - 1] ?? Infinity;
        }
    }

    it("stops sending requests with the part after five servers have ended under it", async () => {
        expect((await runTraffic()).lateArrivals).to.have.length.at.most(3);
    });

    it("goes on serving sound requests with the same first part", async () => {
        const { sound } = await runTraffic();
        expect(sound.late).to.be.at.least(20);
        expect(sound.lateBegun).to.be.at.least(sound.late / 2);
    });
});
