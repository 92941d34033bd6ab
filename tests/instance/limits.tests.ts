import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
    ConfigurationPart,
    createConfigurationSnapshot,
    createConfigurationView,
} from "../../src/control/configuration";
import { createEntryLimits } from "../../src/instance/createEntryLimits";
import { startQuotaOwner } from "../../src/instance/startQuotaOwner";
import { ControlSession, SessionListener } from "../../src/membership";
import { QuotaRequestSchema, SessionUpdate, SessionUpdateSchema } from "../../src/protocol";
import { createManualClock } from "../support/createManualClock";

describe("limits between entry processes and control members", () => {
    const snapshot = createConfigurationSnapshot(new Map([["/corrib", { limits: { requestsPerSecond: 20 } }]]), 1n);

    it("admit requests at the rate of the configuration tree, however many arrive", async () => {
        const clock = createManualClock();
        const configuration = { getSnapshot: () => snapshot, addListener: () => () => {} };
        let handle: (update: SessionUpdate) => void = () => {};
        let listener: SessionListener = {};
        const stopOwner = startQuotaOwner({
            configuration: configuration as unknown as ConfigurationPart,
            clock,
            distribution: {
                addUpdateHandler: handler => {
                    handle = update =>
                        handler({
                            instanceId: "entry",
                            incarnation: "1",
                            update,
                            reply: ({ event }) => event.case === "quota" && listener.handleQuotaGrant?.(event.value),
                        });
                    return () => {};
                },
            },
        });
        const session = {
            addListener: (added: SessionListener) => void (listener = added),
            requestQuota: (level: string, spent: bigint, wanted: bigint) => {
                const value = create(QuotaRequestSchema, { level, spent, wanted });
                handle(create(SessionUpdateSchema, { update: { case: "quotaRequest", value } }));
            },
        };
        const limits = createEntryLimits(session as unknown as ControlSession, clock);
        const view = createConfigurationView();
        view.applySnapshot(snapshot);
        const { limitsByLevel } = view.getEffectiveSettings("/corrib/team/one");
        let admitted = 0;
        for (let step = 0; step < 500; step++) {
            admitted += Number(limits.limiter.admit(limitsByLevel, 0).kind === "admitted");
            await clock.advance(10);
        }
        await limits.stop();
        stopOwner();
        expect(admitted).to.be.within(85, 106);
    });
});
