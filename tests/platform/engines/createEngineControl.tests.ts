import { expect } from "chai";
import { createEngineControl } from "../../../platform/engines";
import { createSilentLogger } from "../../../src/logging";
import { pollConnections } from "../../../src/runtime";
import { createTestInstance } from "../../feed/createTestFeed";
import { RawServer, startRawServer } from "../startRawServer";

describe("createEngineControl", () => {
    let server: RawServer | undefined;
    afterEach(() => server?.stop());

    async function doTest(text: string, expectedVersions: readonly number[] | undefined): Promise<void> {
        server = await startRawServer(socket =>
            socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`)
        );
        const control = createEngineControl(createSilentLogger());
        const instance = createTestInstance({ address: server.address });
        const report = await control.readReport(instance, new AbortController().signal);
        expect(report?.weights.map(({ weightsVersion }) => weightsVersion)).to.deep.equal(expectedVersions);
    }

    const getReport = (version: string) => `{"seq_no":1,"busy":false,"models":[{"name":"large","version":${version}}]}`;

    it("reads a report", () => doTest(getReport("3"), [3]));
    ["4294967296", "1e999", "-1", "1.5", "null"].forEach(version => {
        it(`reads no report with weights of version ${version}, which can't be passed on`, () =>
            doTest(getReport(version), undefined));
    });
    it("does not take an earlier response that arrives again for that to an order", async () => {
        const text = getReport("3");
        server = await startRawServer((socket, request) => {
            const isKept = server!.requests.length > server!.getConnectionCount();
            const status = isKept || request.startsWith("GET") ? "200 OK" : "202 Accepted";
            socket.write(`HTTP/1.1 ${status}\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
        });
        const control = createEngineControl(createSilentLogger());
        const instance = createTestInstance({ address: server.address });
        const { signal } = new AbortController();
        await control.readReport(instance, signal);
        // The connection of the first call becomes idle.
        await pollConnections();
        const order = {
            instance,
            model: "large",
            weightsVersion: 4,
            holder: "control-1",
            fencingToken: 1n,
            expectedOrderCount: 1,
        };
        expect((await control.orderWeights(order, signal)).kind).to.equal("accepted");
    });
    it("reads no report that is none", () => doTest("null", undefined));
});
