import { expect } from "chai";
import { createPlatformListClient } from "../../../src/backends";
import { startPlatformStandIn } from "../../../src/standIns";
import { createAutoAdvancingClock } from "../createAutoAdvancingClock";

describe("startPlatformStandIn", () => {
    it("lists a change after the lag", async () => {
        const clock = createAutoAdvancingClock();
        const platform = await startPlatformStandIn({ clock, lagMilliseconds: 1_000 });
        const client = createPlatformListClient({ address: platform.address });
        const instances = [{ instanceId: "entry-1", isLeaving: true }];
        platform.setInstances(instances);
        expect(await client.getInstances(new AbortController().signal)).to.deep.equal([]);
        await clock.sleep(1_000);
        expect(await client.getInstances(new AbortController().signal)).to.deep.equal(instances);
        await platform.stop();
        expect(await client.getInstances(new AbortController().signal)).to.equal(undefined);
        await client.stop();
    });
});
