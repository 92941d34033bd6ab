import { expect } from "chai";
import { createLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("createForwarder, with backend servers that report their speed", () => {
    async function play(load: { running: number; waiting: number; slots: number; workPercent?: number; }) {
        const clock = createManualClock();
        const lines: string[] = [];
        const metrics = createMetrics();
        const state = createTestFeedState(clock, [createTestInstance({ instanceId: "service-1", service: "actions" })]);
        const link = createTestLink(() => ({ ...createTestResponse(["body"]), load }) as never);
        const write = (line: string) => lines.push(line);
        const logger = createLogger("entry-1", { level: "info", file: undefined }, { write });
        const forwarder = createTestForwarder(state, link, clock, { logger, metrics });
        for (let count = 0; count < 2; count++) {
            const arrivalMilliseconds = clock.getMonotonicMilliseconds();
            await forwarder.forward(createTestRequest({ arrivalMilliseconds }), createTestReply());
            await clock.advance(400);
        }
        const { placement } = JSON.parse(lines.at(-1)!) as { placement: Record<string, unknown>; };
        const text = await metrics.getText();
        const getGauge = (name: string) => Number(new RegExp(`^${name} (\\d+)$`, "m").exec(text)?.[1]);
        return [
            placement.workFactor,
            placement.workFactorAgeMilliseconds,
            getGauge("basilwing_servers_with_work_factor"),
            getGauge("basilwing_highest_work_percent"),
        ];
    }

    it("logs the factor by which a server was chosen with its age, and shows it in the metrics", async () =>
        expect(await play({ running: 1, waiting: 0, slots: 4, workPercent: 200 })).to.deep.equal([1.61, 400, 1, 173]));

    it("logs no factor where servers report three figures", async () =>
        expect(await play({ running: 1, waiting: 0, slots: 4 })).to.deep.equal([undefined, undefined, 0, 100]));
});
