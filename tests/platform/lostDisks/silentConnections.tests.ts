import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { soakBounds } from "../soak/soakBounds";
import { waitForDocumentAtAll } from "../soak/waitForDocumentAtAll";
import { startControlGroup } from "./startControlGroup";

// Soak seeds 140000 and 140001: no member gave the document for 8 s, though all members ran and new connections worked.
describe("connections between control members that are silent for good", () => {
    it("leave the document readable at all members within the stable window", async () => {
        const folder = mkdtempSync(join(tmpdir(), "silent-connections-"));
        const group = await startControlGroup("127.210.22", folder, 3);
        try {
            expect(await waitForDocumentAtAll(group.operator), "before").to.be.a("number");
            group.links.forEach(link => link.silenceConnections());
            const result = await waitForDocumentAtAll(group.operator, soakBounds.stable_window_ms);
            expect(result, "milliseconds until all members answer reads").to.be.a("number");
        }
        finally {
            await group.stop();
            rmSync(folder, { recursive: true });
        }
    }).timeout(120_000);
});
