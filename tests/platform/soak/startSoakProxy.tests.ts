import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
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

    it("passes nothing on while it is held, in either direction, and then all of it in order", async () => {
        const server = await startRawServer((socket, request) => void socket.write(`<${request[5]}`));
        const proxy = await startSoakProxy("127.0.0.1", server.address);
        const client = connect(Number(proxy.address.split(":")[1]), "127.0.0.1");
        let answers = "";
        client.on("data", bytes => answers += String(bytes));
        client.write(createRequest("a"));
        await once(client, "data");
        const held = proxy.hold(300);
        client.write(createRequest("b"));
        await sleep(50);
        client.end(createRequest("c"));
        await sleep(50);
        const whileHeld = { answers, requestCount: server.requests.length, isEnded: client.readableEnded };
        await Promise.all([held, once(client, "close")]);
        proxy.stop();
        await server.stop();
        expect(whileHeld).to.deep.equal({ answers: "<a", requestCount: 1, isEnded: false });
        expect(server.requests).to.deep.equal(["a", "b", "c"].map(createRequest));
        expect(answers).to.equal("<a<b<c");
    });

    it("holds back what the server sends and how it ends a connection", async () => {
        const server = await startRawServer(socket => void setTimeout(() => socket.end("late"), 50));
        const proxy = await startSoakProxy("127.0.0.1", server.address);
        const client = connect({ port: Number(proxy.address.split(":")[1]), host: "127.0.0.1", allowHalfOpen: true });
        const order: string[] = [];
        client.on("data", bytes => order.push(String(bytes)));
        client.on("end", () => {
            order.push("end");
            client.end();
        });
        client.write(createRequest("a"));
        while (server.requests.length === 0) {
            await sleep(1);
        }
        await proxy.hold(200).then(() => order.push("released"));
        await once(client, "close");
        proxy.stop();
        await server.stop();
        expect(order).to.deep.equal(["released", "late", "end"]);
    });

    it("is held until the last of overlapping holds ends", async () => {
        const server = await startRawServer(socket => void socket.end("answer"));
        const proxy = await startSoakProxy("127.0.0.1", server.address);
        const order: string[] = [];
        const longHold = proxy.hold(200).then(() => order.push("long hold ended"));
        await proxy.hold(20);
        order.push("short hold ended");
        const client = connect(Number(proxy.address.split(":")[1]), "127.0.0.1");
        client.on("data", bytes => order.push(String(bytes)));
        client.write(createRequest("a"));
        await Promise.all([longHold, once(client, "close")]);
        proxy.stop();
        await server.stop();
        expect(order).to.deep.equal(["short hold ended", "long hold ended", "answer"]);
    });
});

function createRequest(name: string): string {
    return `GET /${name} HTTP/1.1\r\n\r\n`;
}

/** Blocks the event loop, so that everything that arrives in this time is read at once. */
function blockEventLoop(milliseconds: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}
