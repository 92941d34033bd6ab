import { expect } from "chai";
import type { Socket } from "node:net";
import { startRawServer } from "../startRawServer";
import { createSoakClient } from "./createSoakClient";
import { SoakConnectionUse } from "./SoakConnectionUse";
import { SoakEndReason } from "./SoakEndReason";

describe("createSoakClient", () => {
    const head = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\n\r\n";

    async function doTest(
        input: { respond: (socket: Socket) => void; leavesAfterMilliseconds?: number; isSecond?: boolean; },
        expected: { status: number; reason: SoakEndReason; use: SoakConnectionUse; isInTime: boolean; },
    ): Promise<void> {
        let count = input.isSecond === true ? 0 : 1;
        const server = await startRawServer(socket => {
            if (count++ === 0) {
                socket.write(`${head}body`);
            }
            else {
                input.respond(socket);
            }
        });
        const client = createSoakClient([server.address], undefined, { onIdleClose: () => undefined });
        const request = { entryIndex: 0, requestId: "a", prefix: "/read/", key: undefined, promptParts: [] };
        if (input.isSecond === true) {
            expect((await client.post(request)).isComplete).to.equal(true);
        }
        const { status, end } = await client.post({
            ...request,
            leavesAfterMilliseconds: input.leavesAfterMilliseconds,
        });
        client.stop();
        await server.stop();
        const { reason, use, isWhole, remainingMilliseconds } = end;
        expect({ status, reason, use, isInTime: remainingMilliseconds > 0 }).to.deep.equal(expected);
        expect(isWhole).to.equal(true);
    }

    const inTime = { status: 0, use: SoakConnectionUse.Fresh, isInTime: true };

    it("tells that the connection was ended", () =>
        doTest({ respond: socket => void socket.end() }, { ...inTime, reason: SoakEndReason.Ended }));
    it("tells that a kept connection was ended", () =>
        doTest({ respond: socket => void socket.end(), isSecond: true }, {
            ...inTime,
            reason: SoakEndReason.Ended,
            use: SoakConnectionUse.Kept,
        }));
    it("tells that the connection was reset", () =>
        doTest({ respond: socket => void socket.resetAndDestroy() }, { ...inTime, reason: SoakEndReason.Reset }));
    it("tells that no response arrived", () =>
        doTest({ respond: socket => void socket.end("nothing\r\n\r\n") }, {
            ...inTime,
            reason: SoakEndReason.InvalidBytes,
        }));
    it("tells that the caller left", () =>
        doTest({ respond: () => undefined, leavesAfterMilliseconds: 30 }, {
            ...inTime,
            reason: SoakEndReason.CallerLeft,
        }));
    it("closes at the caller's limit, and tells so", () =>
        doTest({ respond: () => undefined }, { ...inTime, reason: SoakEndReason.CallerLimit, isInTime: false }));
    it("closes at the caller's limit although bytes of the response arrive until then", () =>
        doTest(
            {
                respond: socket => {
                    socket.write(head);
                    setTimeout(() => socket.write("b"), 1_500);
                },
            },
            { status: 200, reason: SoakEndReason.CallerLimit, use: SoakConnectionUse.Fresh, isInTime: false },
        ));
});
