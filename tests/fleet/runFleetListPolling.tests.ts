import { expect } from "chai";
import { createFleetTracker, runFleetListPolling } from "../../src/fleet";
import { createSilentLogger } from "../../src/logging";
import { FleetInstance } from "../../src/protocol";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("runFleetListPolling", () => {
    /** Starts polling a list that responds unless it is withheld. */
    function createFixture() {
        const clock = createManualClock();
        const fixture = { isLeader: true, isWithheld: false, readCount: 0, clock };
        const fleetTracker = createFleetTracker(
            { getNamedWeights: () => [], getQuarantinedSubjects: () => [], addListener: () => () => undefined },
            clock,
            () => undefined,
        );
        fleetTracker.reset(1n);
        void runFleetListPolling({
            listClient: {
                getInstances: signal => {
                    fixture.readCount += 1;
                    return fixture.isWithheld
                        ? new Promise<readonly FleetInstance[] | undefined>(resolve =>
                            signal.addEventListener("abort", () => resolve(undefined))
                        )
                        : Promise.resolve([createTestInstance()]);
                },
            },
            fleetTracker,
            isLeader: () => fixture.isLeader,
            intervalMilliseconds: 1_000,
            clock,
            logger: createSilentLogger(),
            signal: new AbortController().signal,
        });
        return { ...fixture, fixture, fleetTracker };
    }

    it("reads the list again after a response that never arrives", async () => {
        const { fixture, clock, fleetTracker } = createFixture();
        fixture.isWithheld = true;
        await clock.advance(1_500);
        fixture.isWithheld = false;
        await clock.advance(4_000);
        expect(fixture.readCount).to.be.greaterThan(2);
        expect(fleetTracker.getInstances().length).to.equal(1);
    });

    it("reads the list at once when the process becomes the leader", async () => {
        const { fixture, clock } = createFixture();
        fixture.isLeader = false;
        await clock.advance(10_000);
        const formerCount = fixture.readCount;
        fixture.isLeader = true;
        await clock.advance(50);
        expect(fixture.readCount).to.equal(formerCount + 1);
    });
});
