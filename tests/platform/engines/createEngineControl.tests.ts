import { expect } from "chai";
import { createEngineControl } from "../../../platform/engines";
import { createSilentLogger } from "../../../src/logging";
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
    it("reads no report that is none", () => doTest("null", undefined));
});
