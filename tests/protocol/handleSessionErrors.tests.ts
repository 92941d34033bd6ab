import { Http2SessionManager } from "@connectrpc/connect-node";
import { expect } from "chai";
import { once } from "node:events";
import { createServer, ServerHttp2Session } from "node:http2";
import { AddressInfo } from "node:net";
import { handleSessionErrors } from "../../src/protocol/handleSessionErrors";

describe("handleSessionErrors", () => {
    it("keeps the process running when a call finds a session destroyed before its error was emitted", async () => {
        const server = createServer((request, response) => {
            response.end(request.url);
        });
        const serverSessions: ServerHttp2Session[] = [];
        server.on("sessionError", () => {});
        server.on("session", session => serverSessions.push(session));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const manager = new Http2SessionManager(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
        const sessions = handleSessionErrors(manager);
        const first = await sessions.request("GET", "/first", {}, {});
        first.on("error", () => {});
        const session = first.session!;
        const closed = new Promise(resolve => session.once("close", resolve));
        session.destroy(new Error("PING timed out"));
        const second = await sessions.request("GET", "/second", {}, {});
        await closed;
        second.on("error", () => {});
        second.setEncoding("utf8");
        let text = "";
        for await (const part of second) {
            text += part as string;
        }
        expect(text).to.equal("/second");
        expect(second.session).to.not.equal(session);
        manager.abort();
        serverSessions.forEach(serverSession => serverSession.destroy());
        await new Promise(resolve => server.close(resolve));
    });
});
