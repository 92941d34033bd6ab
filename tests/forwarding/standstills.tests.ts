import { expect } from "chai";
import { InstanceState } from "../../src/crashQuarantine";
import { createLivenessMonitor } from "../../src/forwarding";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createSystemClock, pollConnections } from "../../src/runtime";
import { testServices } from "../crashQuarantine/testServices";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestInstance } from "../feed/createTestFeed";
import { startStreamsInThread, StreamsInThread } from "../support/startStreamsInThread";

describe("standstills of the event loop", () => {
    const ids = ["engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6"];
    const standstillMilliseconds = 600;
    const stop = new AbortController();
    let streams: StreamsInThread;

    before(async () => {
        streams = await startStreamsInThread(ids.length);
    });
    after(async () => {
        stop.abort();
        await streams.stop();
    });

    it("are not taken for the silence of servers that send a piece each 100 ms, though several come in a row", async () => {
        const clock = createSystemClock();
        let probeCount = 0;
        const monitor = createLivenessMonitor({
            link: {
                checkInstance: async () => {
                    probeCount += 1;
                    await streams.probe();
                    return InstanceState.Serving;
                },
            },
            facts: createTestFactStore(clock),
            pollConnections,
            clock,
            logger: createSilentLogger(),
            metrics: createMetrics(),
            signal: stop.signal,
        });
        streams.onPiece(index => monitor.recordActivity(ids[index] ?? ""));
        ids.forEach(instanceId => monitor.recordSent(createTestInstance({ instanceId }), testServices.engine));
        const signals = ids.map(monitor.getUnresponsiveSignal);
        for (let count = 0; count < 6; count++) {
            streams.blockUntilAllHaveSent(standstillMilliseconds);
            await pollConnections();
        }
        expect([signals.filter(signal => signal.aborted).length, probeCount]).to.deep.equal([0, 0]);
    });
});
