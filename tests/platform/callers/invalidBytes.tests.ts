import { expect } from "chai";
import { CallerServer } from "../../../platform/callers";
import { CallerReply } from "../../../src/forwarding";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

describe("startCallerServer, to a caller that sends bytes that are no request", () => {
    let callerServer: CallerServer;
    let replies: CallerReply[];
    beforeEach(async () => {
        replies = [];
        callerServer = await startTestCallerServer((...[, reply]) => void replies.push(reply));
    });
    afterEach(() => {
        callerServer.server.closeAllConnections();
        callerServer.server.close();
    });

    async function doTest(requestCount: number, text: string, expectedStatuses: readonly number[]): Promise<void> {
        const caller = openRawCaller(callerServer);
        for (let index = 0; index < requestCount; index++) {
            caller.request(String(index));
        }
        while (replies.length < requestCount) {
            await new Promise(resolve => setImmediate(resolve));
        }
        caller.socket.write(text);
        await new Promise(resolve => setTimeout(resolve, 50));
        caller.request("late");
        replies.forEach(reply => reply.send({ status: 200, headers: [] }, Buffer.from("ok")));
        await caller.waitForStatuses(expectedStatuses.length + 1, 1_000);
        expect([caller.getStatuses(), caller.hasEnded(), replies.length])
            .to.deep.equal([expectedStatuses, true, requestCount]);
    }

    const invalidText = "\u0001 no request\r\n\r\n";

    it("refuses them", () => doTest(0, invalidText, [400]));
    it("refuses a head that is too large", () =>
        doTest(0, `GET / HTTP/1.1\r\nX: ${"a".repeat(70_000)}\r\n\r\n`, [431]));
    // The error ended the connection with a 400 in place of the answer to a request that had been passed on.
    it("answers the request before them", () => doTest(1, invalidText, [200]));
    it("answers all requests before them", () => doTest(3, invalidText, [200, 200, 200]));
    it("refuses a request whose own body is invalid", () =>
        doTest(
            0,
            "POST / HTTP/1.1\r\nHost: x\r\nBasilwing-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            [400],
        ));
});
