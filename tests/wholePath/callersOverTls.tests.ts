import { expect } from "chai";
import { Agent, request } from "undici";
import { createTestAuthority } from "../security/createTestAuthority";
import { createTestIdentity } from "../security/createTestIdentity";
import { startTestDeployment, TestDeployment, testKey } from "./startTestDeployment";

describe("callers over TLS", () => {
    const authority = createTestAuthority("callers");
    const material = authority.issue({ names: ["basilwing://entry/entry-1"] });
    const identity = createTestIdentity({ ...material, authorities: undefined });
    const callers = new Agent({ connect: { ca: authority.certificate, checkServerIdentity: () => undefined } });
    let deployment: TestDeployment;

    before(async () => {
        deployment = await startTestDeployment(1, identity);
    });

    after(async () => {
        await callers.close();
        await deployment.stop();
    });

    function complete(scheme: string) {
        return request(`${scheme}://${deployment.entry.address}/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${testKey}`, "content-type": "application/json" },
            body: JSON.stringify({ model: "large", prompt: "A handover note.", stream: true, max_tokens: 4 }),
            dispatcher: callers,
        });
    }

    it("receive a complete stream", async () => {
        const response = await complete("https");
        expect(response.statusCode).to.equal(200);
        expect((await response.body.text()).trimEnd().endsWith("data: [DONE]")).to.equal(true);
    });

    it("receive no response without TLS", async () => {
        const outcome = await complete("http").then(() => "answered", () => "refused");
        expect(outcome).to.equal("refused");
    });
});
