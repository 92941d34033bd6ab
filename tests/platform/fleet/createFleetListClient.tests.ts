import { expect } from "chai";
import { createFleetListClient } from "../../../platform/fleet";
import { createSilentLogger } from "../../../src/logging";
import { RawServer, startRawServer } from "../startRawServer";

describe("createFleetListClient", () => {
    let server: RawServer | undefined;
    afterEach(() => server?.stop());

    const entry = {
        id: "i-1",
        service: "models",
        address: "10.0.0.1:80",
        zone: "west",
        version: "v1",
        slots: 64,
        state: "ready",
        cold_remaining_ms: 0,
    };

    async function doTest(oddEntry: string, expected: readonly string[]): Promise<void> {
        const text = `{"instances":[${oddEntry},${JSON.stringify(entry)}],"next_token":null}`;
        server = await startRawServer(socket =>
            socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`)
        );
        const client = createFleetListClient(server.address, createSilentLogger());
        const instances = await client.getInstances(new AbortController().signal);
        expect(instances?.map(({ instanceId }) => instanceId)).to.deep.equal(expected);
    }

    describe("reads the other entries beside one", () => {
        const nested = `${"[".repeat(50_000)}${"]".repeat(50_000)}`;
        it("that is nested very deeply", () => doTest(nested, ["i-1"]));
        it("with a field that is nested very deeply", () => doTest(`{"id":${nested}}`, ["i-1"]));
        it("with bytes that can't be read", () => doTest(`{"id":"i-\u0001\u0000\n2","slots":"\ufffd"}`, ["i-1"]));
        it("that is null", () => doTest("null", ["i-1"]));
        it("with a number that is too large", () => doTest(`{"id":"i-2","slots":1e999}`, ["i-1"]));
        it("with a port out of range", () =>
            doTest(JSON.stringify({ ...entry, id: "i-2", address: "10.0.0.1:70000" }), ["i-1"]));
    });
});
