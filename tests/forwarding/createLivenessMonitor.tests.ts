import { expect } from "chai";
import { InstanceState } from "../../src/crashQuarantine";
import { FactStore } from "../../src/facts";
import { createLivenessMonitor, unresponsiveServerFactKind } from "../../src/forwarding";
import { createSilentLogger, Logger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { testServices } from "../crashQuarantine/testServices";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

describe("createLivenessMonitor", () => {
    const id = "engine-1";

    /** Creates the monitor of an entry process, and the facts of another one. */
    function createFixture() {
        const clock = createManualClock();
        const facts = createTestFactStore(clock, "entry-1 1");
        const otherFacts = createTestFactStore(clock, "entry-2 1");
        const silentIds = new Set<string>();
        const probes: string[] = [];
        const lines: { fields: object; message: string; }[] = [];
        /** What has arrived and was not read yet. */
        const arrived: (() => void)[] = [];
        const pendingProbes: ((state: InstanceState) => void)[] = [];
        const states = new Map<string, InstanceState>();
        const probedAddresses: string[] = [];
        const readAll = () => arrived.splice(0).forEach(read => read());
        const monitor = createLivenessMonitor({
            link: {
                checkInstance: ({ instanceId, address }) => {
                    probes.push(instanceId);
                    probedAddresses.push(address);
                    return silentIds.has(instanceId)
                        ? new Promise(resolve => pendingProbes.push(resolve))
                        : Promise.resolve(states.get(address) ?? states.get(instanceId) ?? InstanceState.Serving);
                },
            },
            facts,
            pollConnections: () => {
                readAll();
                return Promise.resolve();
            },
            clock,
            metrics: createMetrics(),
            logger: {
                ...createSilentLogger(),
                warn: (fields: object, message: string) => void lines.push({ fields, message }),
            } as unknown as Logger,
            signal: new AbortController().signal,
        });
        return {
            clock,
            facts,
            otherFacts,
            silentIds,
            states,
            probes,
            probedAddresses,
            arrive: () => void arrived.push(() => monitor.recordActivity(id)),
            respondToProbes: (state: InstanceState) => pendingProbes.splice(0).forEach(respond => respond(state)),
            lines,
            monitor,
            send,
            exchange,
            report,
            standStill,
        };

        function send(instanceId = id, address = "10.0.0.1:80") {
            monitor.recordSent(createTestInstance({ instanceId, address }), testServices.engine);
        }

        /** Stands still while something arrives, which is read after the timers that are due. */
        async function standStill(
            milliseconds: number,
            arriving: "activity" | "responses" | "evidenceAndActivity" | "nothing",
        ) {
            if (arriving === "evidenceAndActivity") {
                arrived.push(() => pendingProbes.splice(0).forEach(respond => respond(InstanceState.Ended)));
            }
            if (arriving === "activity" || arriving === "evidenceAndActivity") {
                arrived.push(() => monitor.recordActivity(id));
            }
            if (arriving === "responses") {
                arrived.push(() => pendingProbes.splice(0).forEach(respond => respond(InstanceState.Serving)));
            }
            await clock.standStill(milliseconds);
            readAll();
            await clock.advance(0);
        }

        function exchange(from: FactStore, to: FactStore) {
            to.merge(from.getChanges(0, () => true).facts, "store");
        }

        function report(instanceId = id) {
            otherFacts.publish(unresponsiveServerFactKind, instanceId, true);
            exchange(otherFacts, facts);
        }
    }

    const getReported = (facts: FactStore) => facts.getAll(unresponsiveServerFactKind).map(({ key }) => key);

    describe("isUnresponsive", () => {
        it("holds for a server without attempts in flight that another entry process reports, without a probe", async () => {
            const { clock, monitor, probes, report } = createFixture();
            report();
            expect(monitor.isUnresponsive(id)).to.equal(true);
            await clock.advance(2_999);
            expect([monitor.isUnresponsive(id), probes.length]).to.deep.equal([true, 0]);
            await clock.advance(1);
            expect(monitor.isUnresponsive(id)).to.equal(false);
        });

        it("ends when the other entry process withdraws its report", () => {
            const { facts, otherFacts, monitor, exchange, report } = createFixture();
            report();
            otherFacts.withdraw(unresponsiveServerFactKind, id);
            exchange(otherFacts, facts);
            expect(monitor.isUnresponsive(id)).to.equal(false);
        });

        it("does not hold for a reported server that responds to this entry process", async () => {
            const { clock, monitor, probes, send, report } = createFixture();
            send();
            report();
            await clock.advance(0);
            expect([monitor.isUnresponsive(id), probes.length]).to.deep.equal([false, 1]);
            await clock.advance(1_000);
            report();
            expect(monitor.isUnresponsive(id)).to.equal(false);
        });
    });

    describe("getUnresponsiveSignal", () => {
        it("is aborted sooner for a reported server, after a failed probe of this entry process", async () => {
            const { clock, monitor, silentIds, send, report } = createFixture();
            silentIds.add(id);
            send();
            report();
            const signal = monitor.getUnresponsiveSignal(id);
            await clock.advance(349);
            expect(signal.aborted).to.equal(false);
            await clock.advance(1);
            expect(signal.aborted).to.equal(true);
        });

        it("is not aborted where the event loop stands still twice, and pieces of a stream arrive meanwhile", async () => {
            const { monitor, silentIds, probes, send, standStill } = createFixture();
            silentIds.add(id);
            send();
            const signal = monitor.getUnresponsiveSignal(id);
            await standStill(600, "activity");
            await standStill(600, "activity");
            expect([signal.aborted, probes.length]).to.deep.equal([false, 0]);
        });

        for (const arriving of ["activity", "responses"] as const) {
            it(`is not aborted where ${arriving} arrived while the event loop stood still after a probe`, async () => {
                const { clock, monitor, silentIds, probes, send, standStill } = createFixture();
                silentIds.add(id);
                send();
                await clock.advance(400);
                const signal = monitor.getUnresponsiveSignal(id);
                await standStill(600, arriving);
                await clock.advance(350);
                expect([signal.aborted, monitor.isProbed(id), probes.length]).to.deep.equal([false, false, 1]);
            });
        }

        it("is aborted for a silent server though the event loop stands still now and then", async () => {
            const { clock, monitor, silentIds, lines, send, standStill } = createFixture();
            silentIds.add(id);
            send();
            const signal = monitor.getUnresponsiveSignal(id);
            await standStill(600, "nothing");
            await clock.advance(300);
            await standStill(600, "nothing");
            await clock.advance(300);
            expect([signal.aborted, lines]).to.deep.equal([true, [{
                fields: { instanceId: id, owed: 1, silenceMilliseconds: 1_750, loopDelayMilliseconds: 1_000 },
                message: "backend server is silent",
            }]]);
        });
    });

    describe("getGoneSignal", () => {
        async function doTest(silentMilliseconds: number, laterState: InstanceState, expected: boolean) {
            const { clock, monitor, silentIds, states, send } = createFixture();
            silentIds.add(id);
            states.set(id, laterState);
            send();
            const signal = monitor.getGoneSignal(id);
            await clock.advance(silentMilliseconds);
            expect(signal.aborted).to.equal(false);
            silentIds.clear();
            await clock.advance(1_000);
            expect(signal.aborted).to.equal(expected);
        }

        it("is not aborted by silence, however long", () => doTest(50_000, InstanceState.Serving, false));
        it("is not aborted for a server that was suspended and responds again", () =>
            doTest(2_000, InstanceState.Serving, false));
        it("is not aborted by connections that fail", () => doTest(0, InstanceState.Unknown, false));
        it("is not aborted by refused connections, as the server may end its work", () =>
            doTest(0, InstanceState.Refusing, false));
        it("is not aborted by refused connections after a silence", () =>
            doTest(10_000, InstanceState.Refusing, false));
        it("is aborted by the first probe that another instance answers at its address", () =>
            doTest(0, InstanceState.Ended, true));
        it("is aborted once another instance answers at its address after a silence", () =>
            doTest(10_000, InstanceState.Ended, true));

        it("is not aborted for a server that still sends, though it accepts no connections any more", async () => {
            const { clock, monitor, silentIds, send, standStill } = createFixture();
            silentIds.add(id);
            send();
            const signal = monitor.getGoneSignal(id);
            await clock.advance(400);
            await standStill(100, "evidenceAndActivity");
            await clock.advance(1_000);
            expect(signal.aborted).to.equal(false);
        });

        it("is not aborted where another instance has taken the former address of a server that started elsewhere", async () => {
            const { clock, monitor, states, probedAddresses, send } = createFixture();
            states.set("10.0.0.1:80", InstanceState.Ended);
            send();
            send(id, "10.0.0.2:80");
            const signal = monitor.getGoneSignal(id);
            await clock.advance(1_000);
            expect([signal.aborted, probedAddresses]).to.deep.equal([false, ["10.0.0.2:80"]]);
        });

        it("is not aborted by a probe of the former address that is answered once the server is used elsewhere", async () => {
            const { clock, monitor, silentIds, probedAddresses, respondToProbes, send } = createFixture();
            silentIds.add(id);
            send();
            const signal = monitor.getGoneSignal(id);
            await clock.advance(450);
            send(id, "10.0.0.2:80");
            silentIds.clear();
            respondToProbes(InstanceState.Ended);
            await clock.advance(200);
            expect([signal.aborted, probedAddresses]).to.deep.equal([false, ["10.0.0.1:80", "10.0.0.2:80"]]);
        });

        it("is not aborted by the answer to an older probe, which the server's own answer has overtaken", async () => {
            const { clock, monitor, silentIds, respondToProbes, send } = createFixture();
            silentIds.add(id);
            send();
            const signal = monitor.getGoneSignal(id);
            await clock.advance(1_000);
            silentIds.clear();
            await clock.advance(500);
            respondToProbes(InstanceState.Ended);
            await clock.advance(200);
            expect(signal.aborted).to.equal(false);
        });

        it("is not aborted by evidence where a piece of a stream has arrived and is not read yet", async () => {
            const { clock, monitor, silentIds, arrive, respondToProbes, send } = createFixture();
            silentIds.add(id);
            send();
            const signal = monitor.getGoneSignal(id);
            await clock.advance(450);
            arrive();
            respondToProbes(InstanceState.Ended);
            await clock.advance(200);
            expect(signal.aborted).to.equal(false);
        });

        it("is aborted at once by evidence, and the server is reported, though most servers are silent", async () => {
            const { clock, facts, monitor, silentIds, states, send } = createFixture();
            const ids = ["engine-1", "engine-2", "engine-3", "engine-4"];
            ids.slice(1).forEach(instanceId => silentIds.add(instanceId));
            states.set(id, InstanceState.Ended);
            ids.forEach(instanceId => send(instanceId));
            const signals = ids.map(monitor.getGoneSignal);
            await clock.advance(800);
            expect([signals.map(signal => signal.aborted), getReported(facts)])
                .to.deep.equal([[true, false, false, false], [id]]);
        });

        it("is not aborted while most servers are silent, since the fault may be the entry process's own", async () => {
            const { clock, monitor, silentIds, send } = createFixture();
            const ids = ["engine-1", "engine-2", "engine-3", "engine-4"];
            ids.forEach(instanceId => silentIds.add(instanceId));
            ids.forEach(instanceId => send(instanceId));
            const signals = ids.map(monitor.getGoneSignal);
            await clock.advance(10_000);
            expect(signals.map(signal => signal.aborted)).to.deep.equal([false, false, false, false]);
        });
    });

    describe("reports", () => {
        it("begin with the first failed probe, are renewed, and end when the server responds", async () => {
            const { clock, facts, silentIds, send } = createFixture();
            silentIds.add(id);
            send();
            await clock.advance(700);
            expect(getReported(facts)).to.deep.equal([]);
            await clock.advance(100);
            expect(getReported(facts)).to.deep.equal([id]);
            await clock.advance(10_000);
            expect(getReported(facts)).to.deep.equal([id]);
            silentIds.clear();
            await clock.advance(1_000);
            expect(getReported(facts)).to.deep.equal([]);
        });

        it("are not repeated by an entry process that knows of one", async () => {
            const { clock, facts, silentIds, send, report } = createFixture();
            silentIds.add(id);
            send();
            for (let count = 0; count < 5; count++) {
                report();
                await clock.advance(1_000);
            }
            expect(facts.getOwn(unresponsiveServerFactKind, id)).to.equal(undefined);
        });

        it("are not made while most servers are silent, since the fault may be the entry process's own", async () => {
            const { clock, facts, silentIds, send } = createFixture();
            for (const instanceId of ["engine-1", "engine-2", "engine-3", "engine-4"]) {
                silentIds.add(instanceId);
                send(instanceId);
                await clock.advance(0);
            }
            for (let count = 0; count < 50; count++) {
                await clock.advance(100);
                expect(getReported(facts)).to.deep.equal([]);
            }
        });
    });
});
