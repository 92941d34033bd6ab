import { expect } from "chai";
import { once } from "node:events";
import { request as sendRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { startRawServer } from "../startRawServer";
import { createLimitedAgent } from "./createLimitedAgent";
import { SoakConnectionUse } from "./SoakConnectionUse";

describe("createLimitedAgent", () => {
    async function doTest(
        input: { header: string; idleMilliseconds: number; inForceMilliseconds?: number; },
        expected: { use: SoakConnectionUse; connections: number; },
    ): Promise<void> {
        const head = `HTTP/1.1 200 OK\r\ncontent-length: 0\r\n${input.header}\r\n\r\n`;
        const server = await startRawServer(socket => void socket.write(head));
        const { inForceMilliseconds } = input;
        const limited = createLimitedAgent({
            getIdleTimeoutMilliseconds: inForceMilliseconds === undefined ? undefined : () => inForceMilliseconds,
            onIdleClose: () => undefined,
        });
        await send();
        await sleep(input.idleMilliseconds);
        const use = await send();
        limited.stop();
        await server.stop();
        expect({ use, connections: server.getConnectionCount() }).to.deep.equal(expected);

        async function send(): Promise<SoakConnectionUse> {
            const request = sendRequest(`http://${server.address}/`, { agent: limited.agent });
            request.end();
            const [response] = await once(request, "response") as [IncomingMessage];
            limited.recordResponse(response.socket, response.headers["keep-alive"]?.toString());
            const { use: ownUse } = limited.getConnection(response.socket);
            response.resume();
            await once(response, "close");
            return ownUse;
        }
    }

    const stated = "Connection: keep-alive\r\nKeep-Alive: timeout=1";

    it("reuses a connection that is used a moment later", () =>
        doTest({ header: stated, idleMilliseconds: 20 }, { use: SoakConnectionUse.Kept, connections: 1 }));
    it("reuses a connection that was idle for less than four fifths of the stated time", () =>
        doTest({ header: stated, idleMilliseconds: 600 }, { use: SoakConnectionUse.Idle, connections: 1 }));
    it("doesn't reuse a connection that was idle for longer", () =>
        doTest({ header: stated, idleMilliseconds: 900 }, { use: SoakConnectionUse.Fresh, connections: 2 }));
    it("reuses it for four fifths of the limit in force where that is longer", () =>
        doTest(
            { header: stated, idleMilliseconds: 1_200, inForceMilliseconds: 3_000 },
            { use: SoakConnectionUse.IdleBeyondStated, connections: 1 },
        ));
    it("doesn't reuse a connection whose response states that it closes", () =>
        doTest({ header: "Connection: close", idleMilliseconds: 20 }, {
            use: SoakConnectionUse.Fresh,
            connections: 2,
        }));
});
