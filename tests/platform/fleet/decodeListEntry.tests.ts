import { expect } from "chai";
import * as fc from "fast-check";
import { decodeListEntry } from "../../../platform/fleet";

describe("decodeListEntry", () => {
    const entry = {
        id: "i-1",
        service: "models",
        address: "10.128.0.9:8080",
        zone: "west",
        version: "v1",
        slots: 64,
        state: "ready",
        cold_remaining_ms: 0,
        models: [{ name: "large", version: 3, adapters: [] }],
    };

    it("reads an entry in the project's words", () => {
        const instance = decodeListEntry(entry);
        expect([instance?.instanceId, instance?.dataCentre, instance?.isLeaving, instance?.weights[0]?.weightsVersion])
            .to.deep.equal(["i-1", "west", false, 3]);
        expect(decodeListEntry({ ...entry, state: "draining" })?.isLeaving).to.equal(true);
    });

    it("names no backend server for an entry of another writer, and never fails", () => {
        const field = fc.constantFrom("id", "service", "address", "zone", "state");
        const odd = fc.oneof(fc.integer(), fc.constant(undefined), fc.constant(""), fc.object());
        fc.assert(
            fc.property(field, odd, (name, value) => {
                expect(decodeListEntry({ ...entry, [name]: value })).to.equal(undefined);
            }),
            { seed: 4, numRuns: 200 },
        );
        fc.assert(fc.property(fc.jsonValue(), value => void decodeListEntry(value)), { seed: 4, numRuns: 200 });
    });
});
