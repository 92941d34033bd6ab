import { expect } from "chai";
import { CallerServer } from "../../../platform/callers";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

describe("startCallerServer, after a body above the limit", () => {
    const head = "POST /reads/1 HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: large\r\n";
    /** Many times the limit, so that most of it arrives after the refusal. */
    const body = Buffer.alloc(3_000_000, "a");
    const chunk = Buffer.concat([Buffer.from("8000\r\n"), Buffer.alloc(0x8000, "a"), Buffer.from("\r\n")]);

    let callerServer: CallerServer | undefined;
    afterEach(() => {
        callerServer?.server.closeAllConnections();
        callerServer?.server.close();
    });

    // The rest of the body was never read, nor was any later request on the connection.
    async function doTest(largeRequest: readonly (string | Buffer)[]): Promise<void> {
        callerServer = await startTestCallerServer((...[, reply]) =>
            reply.send({ status: 200, headers: [] }, Buffer.from("ok"))
        );
        const caller = openRawCaller(callerServer);
        largeRequest.forEach(part => caller.socket.write(part));
        await caller.waitForStatuses(1);
        caller.request("2");
        await caller.waitForStatuses(2);
        caller.request("3");
        expect(await caller.waitForStatuses(3)).to.deep.equal([413, 200, 200]);
        caller.socket.destroy();
    }

    it("answers the next requests on the connection if the body has a length", () =>
        doTest([`${head}Content-Length: ${body.length}\r\n\r\n`, body]));

    it("answers the next requests on the connection if the body has chunks", () =>
        doTest([
            `${head}Transfer-Encoding: chunked\r\n\r\n`,
            ...Array.from({ length: 60 }, () => chunk),
            "0\r\n\r\n",
        ]));

    it("ends the connection, and not the process, in a planned stop", async () => {
        callerServer = await startTestCallerServer(() => undefined, {
            plannedStop: { hasBegun: () => true, signal: new AbortController().signal },
        });
        const caller = openRawCaller(callerServer);
        caller.socket.write(`${head}Content-Length: ${body.length}\r\n\r\n`);
        caller.socket.write(body);
        expect(await caller.waitForStatuses(1)).to.deep.equal([413]);
        caller.socket.destroy();
    });
});
