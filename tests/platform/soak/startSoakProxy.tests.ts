import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import { createResetCounter } from "../../../src/backends";
import { startRawServer } from "../startRawServer";
import { startSoakProxy } from "./startSoakProxy";

describe("startSoakProxy", () => {
    it("passes on a reset as a reset where data and reset arrive together", async () => {
        const server = await startRawServer(socket => {
            socket.write("abcd");
            setImmediate(() => {
                socket.resetAndDestroy();
                blockEventLoop(50);
            });
        });
        const proxy = await startSoakProxy("127.0.0.1", server.address);
        const client = connect(Number(proxy.address.split(":")[1]), "127.0.0.1");
        const resets = createResetCounter();
        resets.watch(client);
        client.on("data", () => undefined);
        client.write("GET / HTTP/1.1\r\n\r\n");
        await once(client, "close").catch(() => undefined);
        proxy.stop();
        await server.stop();
        expect(resets.getCount()).to.equal(1);
    });
});

/** Blocks the event loop, so that everything that arrives in this time is read at once. */
function blockEventLoop(milliseconds: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}
