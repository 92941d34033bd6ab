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

    it("decodes an entry", () => {
        const instance = decodeListEntry(entry);
        expect([instance?.instanceId, instance?.dataCentre, instance?.isLeaving, instance?.weights[0]?.weightsVersion])
            .to.deep.equal(["i-1", "west", false, 3]);
        expect(decodeListEntry({ ...entry, state: "draining" })?.isLeaving).to.equal(true);
    });

    it("decodes the version of the software, which may be missing", () => {
        expect(decodeListEntry(entry)?.softwareVersion).to.equal("v1");
        expect(decodeListEntry({ ...entry, version: undefined })?.softwareVersion).to.equal("");
        expect(decodeListEntry({ ...entry, version: 1 })).to.equal(undefined);
    });

    it("returns undefined for an invalid entry, and never throws", () => {
        const fieldName = fc.constantFrom("id", "service", "address", "zone", "state");
        const invalidValue = fc.oneof(fc.integer(), fc.constant(undefined), fc.constant(""), fc.object());
        fc.assert(
            fc.property(fieldName, invalidValue, (name, value) => {
                expect(decodeListEntry({ ...entry, [name]: value })).to.equal(undefined);
            }),
            { seed: 4, numRuns: 200 },
        );
        fc.assert(fc.property(fc.jsonValue(), value => void decodeListEntry(value)), { seed: 4, numRuns: 200 });
    });
});
