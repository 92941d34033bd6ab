import { expect } from "chai";
import { createStartupGate } from "../../src/entry/createStartupGate";
import { createVirtualTime } from "../membership/createVirtualTime";

describe("createStartupGate", () => {
    describe("waitUntilOpen", () => {
        async function doTest(
            readiness: { configuredAt: number; authorizedAt: number; },
            expected: { waitedMilliseconds: number; hasConfiguration: boolean; isOpen: boolean; },
        ): Promise<void> {
            const time = createVirtualTime();
            const clock = time.createClock();
            const startMilliseconds = clock.getMonotonicMilliseconds();
            const getElapsedMilliseconds = () => clock.getMonotonicMilliseconds() - startMilliseconds;
            const gate = createStartupGate({
                clock,
                configuration: { getRevision: () => getElapsedMilliseconds() >= readiness.configuredAt ? 1n : 0n },
                authority: {
                    checkAuthority: () => Promise.resolve(getElapsedMilliseconds() >= readiness.authorizedAt),
                },
            });
            let waitedMilliseconds: number | undefined;
            const waiting = gate.waitUntilOpen().then(hasConfiguration => {
                waitedMilliseconds = getElapsedMilliseconds();
                return hasConfiguration;
            });
            while (waitedMilliseconds === undefined) {
                await time.advance(20);
            }
            const result = { waitedMilliseconds, hasConfiguration: await waiting, isOpen: gate.isOpen() };
            expect(result).to.deep.equal(expected);
        }

        it("does not wait where the entry can serve requests", () =>
            doTest(
                { configuredAt: 0, authorizedAt: 0 },
                { waitedMilliseconds: 0, hasConfiguration: true, isOpen: true },
            ));
        it("waits for the configuration and the authority to act on it", () =>
            doTest(
                { configuredAt: 100, authorizedAt: 200 },
                { waitedMilliseconds: 200, hasConfiguration: true, isOpen: true },
            ));
        it("stops waiting after the maximum wait where there is no configuration", () =>
            doTest(
                { configuredAt: 60_000, authorizedAt: 0 },
                { waitedMilliseconds: 5_000, hasConfiguration: false, isOpen: false },
            ));
        it("stops waiting after the maximum wait without authority, and leaves the decision to admission", () =>
            doTest(
                { configuredAt: 0, authorizedAt: 60_000 },
                { waitedMilliseconds: 5_000, hasConfiguration: true, isOpen: false },
            ));
    });
});
