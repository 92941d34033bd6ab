import { expect } from "chai";
import { once } from "node:events";
import { CallerServer } from "../../../platform/callers";
import { ForwardedRequest } from "../../../src/forwarding";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

// Their connections stayed open for ever, and their requests in progress with them.
describe("startCallerServer, to callers that leave in the middle of a request, or of invalid bytes, behind a request", () => {
    let callerServer: CallerServer;
    let requests: ForwardedRequest[];
    beforeEach(async () => {
        requests = [];
        callerServer = await startTestCallerServer(request => void requests.push(request));
    });
    afterEach(() => {
        callerServer.server.closeAllConnections();
        callerServer.server.close();
    });

    async function doTest(part: string, isInvalid = false): Promise<void> {
        const caller = openRawCaller(callerServer);
        caller.request("1");
        await once(callerServer.server, "request");
        while (requests.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        const closed = once(caller.socket, "close");
        if (isInvalid) {
            const failed = once(callerServer.server, "clientError");
            caller.socket.write(part);
            await failed;
        }
        caller.socket.end(isInvalid ? "" : part);
        await closed;
        while (callerServer.getOpenCount() > 0) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        expect([requests.length, requests[0]!.signal.aborted]).to.deep.equal([1, true]);
    }

    const head = "POST /reads/2 HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: 2\r\n";

    it("ends their connections where nothing follows", () => doTest(""));
    it("ends their connections in the middle of a head", () => doTest(head));
    it("ends their connections in the middle of a body", () => doTest(`${head}Content-Length: 10\r\n\r\nbody`));
    it("ends their connections in the middle of a chunk", () =>
        doTest(`${head}Transfer-Encoding: chunked\r\n\r\n10\r\nbody`));
    it("ends their connections behind invalid bytes", () => doTest("\u0001\r\n\r\n", true));
    it("ends their connections behind an invalid body", () =>
        doTest(`${head}Transfer-Encoding: chunked\r\n\r\nzz\r\n`, true));
});
