import { expect } from "chai";
import { createStartupGate } from "../../src/entry/createStartupGate";
import { createVirtualTime } from "../membership/createVirtualTime";

describe("createStartGate", () => {
    describe("waitUntilOpen", () => {
        async function doTest(
            start: { configuredAt: number; authorizedAt: number; },
            expected: { waitedMilliseconds: number; hasConfiguration: boolean; isOpen: boolean; },
        ): Promise<void> {
            const time = createVirtualTime();
            const clock = time.createClock();
            const begin = clock.getMonotonicMilliseconds();
            const getAge = () => clock.getMonotonicMilliseconds() - begin;
            const gate = createStartupGate({
                clock,
                configuration: { getRevision: () => getAge() >= start.configuredAt ? 1n : 0n },
                authority: { checkAuthority: () => Promise.resolve(getAge() >= start.authorizedAt) },
            });
            let waitedMilliseconds: number | undefined;
            const waiting = gate.waitUntilOpen().then(hasConfiguration => {
                waitedMilliseconds = getAge();
                return hasConfiguration;
            });
            while (waitedMilliseconds === undefined) {
                await time.advance(20);
            }
            const result = { waitedMilliseconds, hasConfiguration: await waiting, isOpen: gate.isOpen() };
            expect(result).to.deep.equal(expected);
        }

        it("does not wait where the entry can serve", () =>
            doTest(
                { configuredAt: 0, authorizedAt: 0 },
                { waitedMilliseconds: 0, hasConfiguration: true, isOpen: true },
            ));
        it("waits for configuration and authority", () =>
            doTest(
                { configuredAt: 100, authorizedAt: 200 },
                { waitedMilliseconds: 200, hasConfiguration: true, isOpen: true },
            ));
        it("gives up in time without a configuration", () =>
            doTest(
                { configuredAt: 60_000, authorizedAt: 0 },
                { waitedMilliseconds: 5_000, hasConfiguration: false, isOpen: false },
            ));
        it("lets admission decide in time without authority", () =>
            doTest(
                { configuredAt: 0, authorizedAt: 60_000 },
                { waitedMilliseconds: 5_000, hasConfiguration: true, isOpen: false },
            ));
    });
});
