import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createFeedClient } from "../../src/feed";
import { createPeerTransports, PollRequestSchema } from "../../src/protocol";

describe("createFeedClient", () => {
    const transports = createPeerTransports({ allowPlain: true });
    after(() => transports.stop());

    // A seed address without meaning, read from changed settings, ended the entry process and all its requests.
    function doTest(address: string) {
        return async () => {
            const client = createFeedClient(transports);
            const result = await client.poll(address, create(PollRequestSchema), 300, new AbortController().signal);
            expect(result.kind).to.equal("failed");
        };
    }

    it("reports a poll of a member that does not respond as failed", doTest("127.0.0.9:1"));
    it("reports a poll of an address without a valid port as failed", doTest("127.0.0.1:99999"));
    it("reports a poll of an address without a valid host as failed", doTest("300.0.0.1:1"));
});
