import { expect } from "chai";
import { Readable } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { createRandomCrowd } from "./createRandomCrowd";
import { CrowdRequest, startCrowd } from "./startCrowd";
import {
    crowdBodyBytes,
    CrowdDeployment,
    crowdMemoryMegabytes,
    CrowdProcess,
    startCrowdDeployment,
} from "./startCrowdDeployment";

/** The descriptors of each process in the settings, and those of the smallest instances. */
const crowdDescriptors = 400;
const instanceDescriptors = 2_212;
const stopShortBytes = 10;
const answerTimeoutMilliseconds = 20_000;
const slowPauseMilliseconds = 3_000;
const largePart = Buffer.alloc(65_536, "a");
const smallPart = Buffer.alloc(16_384, "a");
const largeChunk = Buffer.concat([Buffer.from("10000\r\n"), largePart, Buffer.from("\r\n")]);
const tinyChunks = Buffer.from("1\r\na\r\n".repeat(16_384));
const legalLengthHeader = `Content-Length: ${crowdBodyBytes}`;
const chunkedHeader = "Transfer-Encoding: chunked";

/** Bodies of legal size that stop 10 bytes short, whole and piece by piece. */
const whole: CrowdRequest = {
    count: 96,
    lengthHeader: legalLengthHeader,
    part: Buffer.alloc(crowdBodyBytes - stopShortBytes, "a"),
    partCount: 1,
};
const pieces: CrowdRequest = {
    count: 96,
    lengthHeader: legalLengthHeader,
    part: smallPart,
    partCount: crowdBodyBytes / smallPart.length - 1,
    lastPart: smallPart.subarray(stopShortBytes),
    pauseMilliseconds: 5,
};
/** Bodies of legal size in chunks, without the last one. */
const largeChunks: CrowdRequest = { count: 96, lengthHeader: chunkedHeader, part: largeChunk, partCount: 31 };
const tinyChunkBodies: CrowdRequest = { count: 16, lengthHeader: chunkedHeader, part: tinyChunks, partCount: 16 };
/** Bodies far over the limit, which state a length or don't. */
const farOverAnnounced: CrowdRequest = {
    count: 96,
    lengthHeader: `Content-Length: ${64 * crowdBodyBytes}`,
    part: largePart,
    partCount: 128,
};
/** Documents of legal size whose values are empty objects. */
const manyValuesText = Buffer.from(`[${"{},".repeat(5_333_333)}1]`);
const manyValues: CrowdRequest = {
    count: 3,
    lengthHeader: `Content-Length: ${manyValuesText.length}`,
    part: manyValuesText,
    partCount: 1,
};
const farOverSent: CrowdRequest = { count: 96, lengthHeader: chunkedHeader, part: largeChunk, partCount: 128 };

/** The descriptors of an entry process that crowds of 300 clients don't exhaust. */
const waveDescriptors = 1_000;
const waveCount = 300;
/** Bodies in chunks of one and two bytes, without an end. */
const endlessTinyChunks: CrowdRequest = {
    count: waveCount,
    lengthHeader: chunkedHeader,
    part: Buffer.from("1\r\na\r\n".repeat(4_000)),
    partCount: 400,
};
const pacedTinyChunks: CrowdRequest = {
    count: waveCount,
    lengthHeader: chunkedHeader,
    part: Buffer.from("2\r\naa\r\n".repeat(500)),
    partCount: 200,
    pauseMilliseconds: 20,
};
/** Whole requests of 60 KB, and then a body that stops short. */
const pipelinedHead = "POST /read/crowd HTTP/1.1\r\nHost: crowd.example\r\nBasilwing-Request-Id: pipelined\r\n";
const pipelinedBody = "a".repeat(60_000);
const pipelined: CrowdRequest = {
    ...whole,
    count: waveCount,
    earlierRequests: Buffer.from(
        `${pipelinedHead}Content-Length: ${pipelinedBody.length}\r\n\r\n${pipelinedBody}`.repeat(20),
    ),
};
const operatorPipelined: CrowdRequest = {
    ...pipelined,
    earlierRequests: Buffer.from(
        pipelined.earlierRequests!.toString("latin1").replaceAll("POST /read/crowd", "PUT /basilwing/config"),
    ),
};
const manySmallRequests: CrowdRequest = {
    ...whole,
    count: waveCount,
    part: smallPart,
    earlierRequests: Buffer.from(`${pipelinedHead}Content-Length: 2\r\n\r\n{}`.repeat(400)),
};
/** Bodies in chunks, the first of which reserve memory of different sizes. */
const firstChunksOfManySizes: CrowdRequest[] = Array.from({ length: 156 }, (...[, index]) => {
    const chunkBytes = 16_385 + 35 * index;
    const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${"a".repeat(chunkBytes)}\r\n`);
    return {
        count: 1,
        lengthHeader: chunkedHeader,
        firstPart: chunk,
        part: Buffer.concat(Array.from({ length: 5 }, () => chunk)),
        partCount: 10,
        lastPart: Buffer.from("0\r\n\r\n"),
        pauseMilliseconds: 50,
    };
});
/** Reads of the metrics, sent at once, and then a body that stops short. */
const metricsRequests: CrowdRequest = {
    ...whole,
    count: 60,
    target: "/metrics",
    part: smallPart,
    earlierRequests: Buffer.from("GET /metrics HTTP/1.1\r\nHost: crowd.example\r\n\r\n".repeat(400)),
};
const slowBodies: CrowdRequest[] = [
    ...[0.5, 1, 1.5, 2].map(share => `Content-Length: ${share * crowdBodyBytes}`),
    chunkedHeader,
].map(lengthHeader => ({
    count: waveCount / 5,
    lengthHeader,
    part: lengthHeader === chunkedHeader
        ? Buffer.concat([Buffer.from("4000\r\n"), smallPart, Buffer.from("\r\n")])
        : smallPart,
    partCount: 60,
    pauseMilliseconds: 100,
}));
const severalKinds: CrowdRequest[] = [
    { ...endlessTinyChunks, count: 60 },
    { ...pacedTinyChunks, count: 60 },
    { ...pipelined, count: 60 },
    { ...whole, count: 60 },
    { ...largeChunks, count: 60 },
];

/** Heads of nearly the largest size, in many connections. */
const unfinishedHeads: CrowdRequest = {
    count: 1_300,
    lengthHeader: `Filling: ${"a".repeat(60_000)}`,
    headEnd: "",
    part: Buffer.alloc(0),
    partCount: 0,
};

/** Whole heads without their bodies: one large header, and very many short ones. */
const largeHeads: CrowdRequest = {
    ...unfinishedHeads,
    lengthHeader: `Filling: ${"a".repeat(60_000)}\r\nContent-Length: 10`,
    headEnd: "\r\n\r\n",
};
const manyHeaders: CrowdRequest = {
    ...largeHeads,
    lengthHeader: `${"abcdefgh: aaaaaaaaaaaaaaaa\r\n".repeat(1_900)}Content-Length: 10`,
};
/** The same within the limit of the routing document. */
const legalHeaders: CrowdRequest = { ...largeHeads, lengthHeader: `${"a:b\r\n".repeat(1_900)}Content-Length: 10` };

describe("crowds of untrusted clients", () => {
    let deployment: CrowdDeployment | undefined;
    afterEach(() => deployment?.stop());

    /**
     * Guards against a process that clients end, or bring beyond the memory or the descriptors of its machine.
     * @param role - Whom the clients send to.
     * @param crowdRequest - What they send.
     * @param listener - Where they send it to.
     * @param answeredTarget - What an ordinary client requests afterwards, while the others keep their connections.
     * @param maximumDescriptors - The descriptors of the processes.
     * @param mustClose - Whether the server must close all connections of the crowd.
     * @param waveCount - How many waves the clients come in.
     */
    async function doTest(
        role: "control" | "entry",
        crowdRequest: CrowdRequest | CrowdRequest[],
        listener: keyof CrowdProcess["addresses"],
        answeredTarget: string,
        maximumDescriptors = crowdDescriptors,
        mustClose = false,
        waveCount = 1,
    ): Promise<void> {
        deployment = await startCrowdDeployment(maximumDescriptors);
        const process = deployment[role];
        const address = process.addresses[listener];
        let descriptorCount = 0;
        let peakMegabytes = 0;
        const crowd = await startCrowd(address, [crowdRequest].flat(), () => {
            if (process.isAlive()) {
                descriptorCount = Math.max(descriptorCount, process.getDescriptorCount());
                peakMegabytes = process.getPeakMegabytes();
            }
        }, waveCount);
        expect(process.isAlive(), `alive, after ${peakMegabytes} MB`).to.equal(true);
        const status = await getStatus(address, answeredTarget);
        for (const end = performance.now() + answerTimeoutMilliseconds; mustClose && crowd.getOpenCount() > 0;) {
            expect(performance.now(), `${crowd.getOpenCount()} open connections`).to.be.below(end);
            await sleep(100);
        }
        crowd.close();
        expect(status, "ordinary request").to.equal(200);
        expect(process.isAlive(), "alive after the ordinary request").to.equal(true);
        expect(process.getPeakMegabytes(), "peak of the resident memory").to.be.below(crowdMemoryMegabytes);
        expect(descriptorCount, "open descriptors").to.be.below(maximumDescriptors);
    }

    describe("at the callers' server of an entry process", () => {
        const doEntryTest = (crowdRequest: CrowdRequest) => doTest("entry", crowdRequest, "caller", "/read/ordinary");
        const doWaveTest = (crowdRequests: CrowdRequest[], waves = 3) =>
            doTest("entry", crowdRequests, "caller", "/read/ordinary", waveDescriptors, false, waves);
        it("that send whole bodies and stop short", () => doEntryTest(whole));
        it("that send bodies piece by piece and stop short", () => doEntryTest(pieces));
        it("that send large chunks and stop short", () => doEntryTest(largeChunks));
        it("that send chunks of one byte and stop short", () => doEntryTest(tinyChunkBodies));
        it("that announce bodies far over the limit", () => doEntryTest(farOverAnnounced));
        it("that send bodies far over the limit", () => doEntryTest(farOverSent));
        it("that open more connections than there are descriptors", () =>
            doEntryTest({ ...whole, count: 600, part: smallPart }));

        it("that send heads without their end", () =>
            doTest("entry", unfinishedHeads, "caller", "/read/ordinary", instanceDescriptors));
        it("that send heads with a large header, and not their bodies", () =>
            doTest("entry", largeHeads, "caller", "/read/ordinary", instanceDescriptors));
        it("that send heads with very many headers, and not their bodies", () =>
            doTest("entry", manyHeaders, "caller", "/read/ordinary", instanceDescriptors));
        it("that send heads with very many headers of legal size, and not their bodies", () =>
            doTest("entry", legalHeaders, "caller", "/read/ordinary", instanceDescriptors));

        it("that send chunks of one byte in waves", () => doWaveTest([endlessTinyChunks]));
        it("that send chunks of two bytes at a steady pace", () => doWaveTest([pacedTinyChunks]));
        it("that send many whole requests at once, and then one that stops short", () => doWaveTest([pipelined]));
        it("that send very many small requests at once", () => doWaveTest([manySmallRequests]));
        it("that send first chunks of many sizes", () =>
            doWaveTest(firstChunksOfManySizes, firstChunksOfManySizes.length));
        it("that send bodies beyond the limit slowly", () => doWaveTest(slowBodies));
        it("that send several kinds at once", () => doWaveTest(severalKinds));
        for (const seed of [1, 2, 3]) {
            it(`that send random bodies, seed ${seed}`, () => doWaveTest(createRandomCrowd(seed, crowdBodyBytes)));
        }

        // A limit on crowds must not reach a client that sends slowly and is alone.
        it("serve a slow client that pauses for seconds in its body", async () => {
            deployment = await startCrowdDeployment(crowdDescriptors);
            async function* send() {
                for (let index = 0; index < 4; index++) {
                    yield Buffer.alloc(crowdBodyBytes / 4, "a");
                    await sleep(slowPauseMilliseconds);
                }
            }
            const response = await request(`http://${deployment.entry.addresses.caller}/read/slow`, {
                method: "POST",
                headers: {
                    "host": "crowd.example",
                    "basilwing-request-id": "slow",
                    "content-length": String(crowdBodyBytes),
                },
                body: Readable.from(send()),
            });
            await response.body.dump();
            expect(response.statusCode).to.equal(200);
        });

        /** Guards against a limit that refuses a client which sends small chunks and is alone. */
        async function doSingleTest(single: Omit<CrowdRequest, "count" | "lengthHeader">): Promise<void> {
            deployment = await startCrowdDeployment(crowdDescriptors);
            const client = await startCrowd(
                deployment.entry.addresses.caller,
                [{ ...single, count: 1, lengthHeader: chunkedHeader, lastPart: Buffer.from("0\r\n\r\n") }],
                () => undefined,
            );
            const end = performance.now() + answerTimeoutMilliseconds;
            while (client.getStatuses().length === 0 && performance.now() < end) {
                await sleep(100);
            }
            client.close();
            expect(client.getStatuses()).to.deep.equal([200]);
        }
        // A refusal must say that the request has not run.
        it("serve or refuse an upload in small chunks beside others that stop short", async () => {
            deployment = await startCrowdDeployment(waveDescriptors);
            const address = deployment.entry.addresses.caller;
            const crowd = await startCrowd(
                address,
                [{ ...endlessTinyChunks, count: 60, partCount: 100 }],
                () => undefined,
            );
            const response = await request(`http://${address}/read/upload`, {
                method: "POST",
                headers: { "host": "crowd.example", "basilwing-request-id": "upload" },
                body: Readable.from(Array.from({ length: 1_024 }, () => Buffer.alloc(1_024, "a"))),
            });
            await response.body.dump();
            crowd.close();
            const { statusCode, headers } = response;
            expect(statusCode === 200 || statusCode === 503 && headers["retry-after"] !== undefined, String(statusCode))
                .to.equal(true);
        });
        it("serve a single body of chunks of one byte", () =>
            doSingleTest({ part: tinyChunks, partCount: crowdBodyBytes / 16_384 }));
        it("serve a single body of chunks of one kilobyte", () =>
            doSingleTest({ part: Buffer.from(`400\r\n${"a".repeat(1_024)}\r\n`), partCount: 2_048 }));
        it("serve a single body of chunks of 100 bytes that is sent slowly", () =>
            doSingleTest({
                part: Buffer.from(`64\r\n${"a".repeat(100)}\r\n`),
                partCount: 200,
                pauseMilliseconds: 50,
            }));
    });

    describe("at the other servers of an entry process", () => {
        // These servers would otherwise read bodies of any length, and keep the connections for the rest.
        it("that send bodies to its readiness check", () =>
            doTest("entry", farOverAnnounced, "readiness", "/", crowdDescriptors, true));
        it("that send chunks of one byte to its readiness check", () =>
            doTest("entry", endlessTinyChunks, "readiness", "/", crowdDescriptors, true));
        it("that send chunks of one byte to its metrics", () =>
            doTest(
                "entry",
                { ...endlessTinyChunks, target: "/metrics" },
                "metrics",
                "/metrics",
                crowdDescriptors,
                true,
            ));
        it("that send very many small requests to its metrics", () =>
            doTest("entry", metricsRequests, "metrics", "/metrics"));
        it("that send bodies to its metrics", () =>
            doTest("entry", { ...farOverSent, target: "/metrics" }, "metrics", "/metrics", crowdDescriptors, true));
        it("that open more connections to its metrics than there are descriptors", () =>
            doTest("entry", { ...whole, count: 600, part: smallPart, target: "/metrics" }, "metrics", "/metrics"));
    });

    describe("at the operators' server of a control member", () => {
        const path = "/basilwing/config";
        const doOperatorTest = (crowdRequest: CrowdRequest) =>
            doTest("control", { ...crowdRequest, target: path, method: "PUT" }, "operator", path);
        const doOperatorWaveTest = (crowdRequests: CrowdRequest[], waves = 3) => {
            const requests = crowdRequests.map(crowdRequest => ({ ...crowdRequest, target: path, method: "PUT" }));
            return doTest("control", requests, "operator", path, waveDescriptors, false, waves);
        };
        it("that send whole bodies and stop short", () => doOperatorTest(whole));
        it("that send chunks of one byte and stop short", () => doOperatorTest(tinyChunkBodies));
        it("that send chunks of one byte in waves", () => doOperatorWaveTest([endlessTinyChunks]));
        it("that send chunks of two bytes at a steady pace", () => doOperatorWaveTest([pacedTinyChunks]));
        it("that send many whole requests at once, and then one that stops short", () =>
            doOperatorWaveTest([operatorPipelined]));
        it("that send first chunks of many sizes", () =>
            doOperatorWaveTest(firstChunksOfManySizes, firstChunksOfManySizes.length));
        it("that send several kinds at once", () =>
            doOperatorWaveTest(
                severalKinds.map(kind => kind.earlierRequests ? { ...operatorPipelined, count: 60 } : kind),
            ));
        // A value of two bytes occupies many times as much once it is decoded.
        it("that send bodies of very many values", () => doOperatorTest(manyValues));
        it("that send bodies far over the limit", () => doOperatorTest({ ...farOverSent, count: 24, partCount: 400 }));
    });
});

/** Sends an ordinary request, again where it is refused as not run, as callers do. */
async function getStatus(address: string, target: string): Promise<number | undefined> {
    const end = performance.now() + answerTimeoutMilliseconds;
    let status: number | undefined;
    while (status !== 200 && performance.now() < end) {
        const response = await request(`http://${address}${target}`, {
            headers: { "host": "crowd.example", "basilwing-request-id": "ordinary" },
            headersTimeout: answerTimeoutMilliseconds,
        }).catch(() => undefined);
        await response?.body.dump();
        status = response?.statusCode;
        await sleep(status === 200 ? 0 : 100);
    }
    return status;
}
