import { create, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import type { Server } from "node:http";
import { request } from "undici";
import { startOperatorServer } from "../../../platform/operators";
import { getFreeAddress } from "../../../scripts/measure/getFreeAddress";
import { ReplicatedLog } from "../../../src/control/consensus";
import { createDocumentState } from "../../../src/documents";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { DocumentCommandSchema } from "../../../src/protocol";
import { createSystemClock } from "../../../src/runtime";

describe("startOperatorServer", () => {
    let server: Server | undefined;
    afterEach(() => server?.close());

    async function createFixture() {
        const documents = createDocumentState();
        const apply = (bytes: Uint8Array) => documents.apply(bytes, { term: 1n, index: 1n, timeMilliseconds: 500 });
        const log = {
            readBarrier: () => Promise.resolve({ kind: "passed", index: 1n }),
            propose: (bytes: Uint8Array) => {
                apply(bytes);
                return Promise.resolve({ kind: "committed", index: 1n, result: new Uint8Array() });
            },
        } as unknown as ReplicatedLog;
        const value = { subjectId: "bad", instanceIds: ["engine-1"] };
        apply(toBinary(
            DocumentCommandSchema,
            create(DocumentCommandSchema, { command: { case: "quarantineSubject", value } }),
        ));
        const address = await getFreeAddress();
        server = await startOperatorServer({
            address,
            log,
            documents,
            quotaBounds: { windowMilliseconds: 8_000, overshoot: 0.1, slack: 0 },
            clock: createSystemClock(),
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
        return async (method: "GET" | "DELETE" | "POST", path: string, text?: string) => {
            const { statusCode, body } = await request(`http://${address}${path}`, { method, body: text });
            return [statusCode, await body.json()];
        };
    }

    it("shows the quarantined parts of prompts, and releases one", async () => {
        const call = await createFixture();
        const path = "/basilwing/crash-quarantine";
        const part = {
            subject: "bad",
            kind: "promptPart",
            crashed_instances: ["engine-1"],
            since_ms: 500,
            released: false,
        };
        expect(await call("GET", path)).to.deep.equal([200, { subjects: [part] }]);
        expect(await call("DELETE", `${path}/bad`)).to.deep.equal([200, {}]);
        expect(await call("GET", path)).to.deep.equal([200, { subjects: [{ ...part, released: true }] }]);
        expect((await call("DELETE", `${path}/bad`))[0]).to.equal(404);
    });

    // It would occupy many times its size once it is decoded.
    it("refuses a body of more values than any document has", async () => {
        const call = await createFixture();
        const [status] = await call("POST", "/basilwing/version-put", `[${"{},".repeat(250_000)}1]`);
        expect(status).to.equal(413);
    });

    ["4294967296", "1e21", "1e999", "0", "-1", "1.5"].forEach(version => {
        it(`refuses weights of version ${version}, which can't be stored`, async () => {
            const call = await createFixture();
            const [status] = await call("POST", "/basilwing/version-put", `{"model":"large","version":${version}}`);
            expect(status).to.equal(400);
        });
    });
});
