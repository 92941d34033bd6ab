import { expect } from "chai";
import { CallerServer } from "../../../platform/callers";
import { createSystemClock } from "../../../src/runtime";
import { createTestWorkspaces } from "../../documents/createTestWorkspaces";
import { createTestFeedState } from "../../feed/createTestFeed";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

// A full instance that reads bodies only to refuse them afterwards spends its link and its memory on them.
describe("startCallerServer, where its queue is too long", () => {
    const blockedMilliseconds = 20;
    let callerServer: CallerServer;
    let startedCount: number;
    afterEach(() => {
        callerServer.server.closeAllConnections();
        callerServer.server.close();
    });

    /** Sends a head without its body while requests wait that keep the event loop busy; returns what came back. */
    async function sendHeadToBusyServer(workspaceNames: readonly string[], hasQuotas: boolean): Promise<string> {
        const workspaces = createTestWorkspaces(workspaceNames, hasQuotas);
        startedCount = 0;
        callerServer = await startTestCallerServer((...[, reply]) => {
            startedCount += 1;
            const end = performance.now() + blockedMilliseconds;
            while (performance.now() < end) {
                // Keeps the event loop busy.
            }
            reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
        }, { state: createTestFeedState(createSystemClock(), [], { workspaces }) });
        const key = "Authorization: Bearer alpha-key\r\n";
        const callers = Array.from({ length: 80 }, () => openRawCaller(callerServer));
        callers.forEach((caller, index) => caller.request(`busy-${index}`, key));
        while (startedCount < 15) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        const late = openRawCaller(callerServer);
        late.socket.write(
            `POST /reads/1 HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: late\r\n${key}Content-Length: 9\r\n\r\n`,
        );
        await late.waitForStatuses(1, hasQuotas && workspaceNames.length > 1 ? 10_000 : 2_000);
        const text = late.getText();
        [...callers, late].forEach(({ socket }) => socket.destroy());
        return text;
    }

    it("refuses a request before its body is read", async () => {
        const text = await sendHeadToBusyServer(["alpha", "beta"], true);
        expect(text).to.match(/^HTTP\/1.1 503 /).and.match(/retry-after: \d/i);
    });

    it("reads the body first where the document has one workspace and one priority", async () => {
        expect(await sendHeadToBusyServer(["alpha"], true)).to.equal("");
    });

    it("reads the body first where the document has no quotas", async () => {
        expect(await sendHeadToBusyServer(["alpha", "beta"], false)).to.equal("");
    });
});
