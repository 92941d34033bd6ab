import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { startRawServer } from "../startRawServer";

describe("a process that reads the answers of a faulty backend server, which have no end", () => {
    /** Half of the memory of the platform's smallest entry instance. */
    const maximumGrowthMegabytes = 178 / 2;
    /** A third of the time limit of the callers with the least time, after which they leave a process that doesn't read. */
    const maximumStandstillMilliseconds = 631 / 3;
    /** The heap of an entry process, as in the deploy file. */
    const heapMegabytes = 120;
    const repeatedBytes = 65_536;
    const requestCounts = [1, 8, 64];

    const identity = "Basilwing-Request-Id: request-1\r\nBasilwing-Response-Seal: seal\r\n";
    const head = `HTTP/1.1 200 OK\r\n${identity}`;
    const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
    const refusalHead =
        `HTTP/1.1 503 Full\r\n${identity}Basilwing-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n`;
    const byteChunk = "1\r\nx\r\n";

    /** Sends requests to a server that answers each of them with a start and then the same again and again. */
    async function run(requestCount: number, start: string, repeated: string): Promise<string> {
        const block = Buffer.from(repeated.repeat(Math.ceil(repeatedBytes / repeated.length)));
        const server = await startRawServer(socket => {
            socket.write(start);
            socket.on("drain", writeAll);
            writeAll();

            function writeAll(): void {
                while (!socket.destroyed && socket.write(block)) {
                    // Writes as much as the connection takes.
                }
            }
        });
        const child = spawn(process.execPath, [
            `--max-old-space-size=${heapMegabytes}`,
            "--require",
            "tsx/cjs",
            join(__dirname, "runEndlessAnswers.ts"),
            server.address,
            String(requestCount),
        ], { stdio: ["ignore", "pipe", "ignore"] });
        const [output] = await Promise.all([text(child.stdout), once(child, "close")]);
        await server.stop();
        return output;
    }

    async function doTest(start: string, repeated: string) {
        for (const requestCount of requestCounts) {
            const output = await run(requestCount, start, repeated);
            const { growthMegabytes = Infinity, longestMilliseconds = Infinity } = output === ""
                ? {}
                : JSON.parse(output) as { growthMegabytes?: number; longestMilliseconds?: number; };
            const requests = `with ${requestCount} requests`;
            expect(growthMegabytes, `growth in megabytes ${requests}`).to.be.at.most(maximumGrowthMegabytes);
            expect(longestMilliseconds, `standstill ${requests}`).to.be.at.most(maximumStandstillMilliseconds);
        }
    }

    it("keeps its memory and its turns (chunks of one byte)", () => doTest(chunkedHead, byteChunk));
    it("keeps its memory and its turns (large chunks)", () =>
        doTest(chunkedHead, `10000\r\n${"x".repeat(0x10000)}\r\n`));
    it("keeps its memory and its turns (a length that is far too large)", () =>
        doTest(`${head}Content-Length: 999999999\r\n\r\n`, "x"));
    it("keeps its memory and its turns (a body until the end of the connection)", () => doTest(`${head}\r\n`, "x"));
    it("keeps its memory and its turns (trailer lines)", () => doTest(`${chunkedHead}0\r\n`, "A:\r\n"));
    it("keeps its memory and its turns (header lines)", () => doTest(head, "A:\r\n"));
    it("keeps its memory and its turns (a header line)", () => doTest(`${head}X: `, "x"));
    it("keeps its memory and its turns (a status line)", () => doTest("HTTP/1.1 200 ", "y"));
    it("keeps its memory and its turns (empty lines)", () => doTest("", "\r\n"));
    it("keeps its memory and its turns (a chunk extension)", () => doTest(`${chunkedHead}1;`, "a=b;"));
    it("keeps its memory and its turns (bytes that are no answer)", () => doTest("", "z"));
    it("keeps its memory and its turns (informational heads)", () => doTest("", "HTTP/1.1 103 Early Hints\r\n\r\n"));
    it("keeps its memory and its turns (the body of a refusal, in chunks of one byte)", () =>
        doTest(refusalHead, byteChunk));
});
