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

    function decodeOrThrow(changes: object) {
        const instance = decodeListEntry({ ...entry, ...changes });
        if (typeof instance === "string") {
            throw new Error(instance);
        }
        return instance;
    }

    it("decodes an entry", () => {
        const instance = decodeOrThrow({});
        expect([instance.instanceId, instance.dataCentre, instance.isLeaving, instance.weights[0]?.weightsVersion])
            .to.deep.equal(["i-1", "west", false, 3]);
        expect(decodeOrThrow({ state: "draining" }).isLeaving).to.equal(true);
    });

    it("decodes the version of the software, which may be missing", () => {
        expect(decodeOrThrow({}).softwareVersion).to.equal("v1");
        expect(decodeOrThrow({ version: undefined }).softwareVersion).to.equal("");
        expect(decodeListEntry({ ...entry, version: 1 })).to.be.a("string");
    });

    it("returns a problem for an invalid entry, and never throws", () => {
        const fieldName = fc.constantFrom("id", "service", "address", "zone", "state");
        const invalidValue = fc.oneof(fc.integer(), fc.constant(undefined), fc.constant(""), fc.object());
        fc.assert(
            fc.property(fieldName, invalidValue, (name, value) => {
                expect(decodeListEntry({ ...entry, [name]: value })).to.be.a("string");
            }),
            { seed: 4, numRuns: 200 },
        );
        fc.assert(fc.property(fc.jsonValue(), value => void decodeListEntry(value)), { seed: 4, numRuns: 200 });
    });

    describe("an entry of another writer is rejected", () => {
        function doTest(changes: object) {
            expect(decodeListEntry({ ...entry, ...changes })).to.be.a("string");
        }

        ["10.0.0.1:70000", "10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:080", "10.0.0.1:99999999999999999999"].forEach(
            address => it(`with the port of ${address}`, () => doTest({ address })),
        );
        ["999.1.1.1:80", "10.0.1:80", "10.0.0.1.2:80", "1:80", "....:80"].forEach(
            address => it(`with the address ${address}`, () => doTest({ address })),
        );
        ["1e999", "4294967296", "-1", "1.5"].forEach(version =>
            it(`with weights of version ${version}`, () =>
                doTest({ models: [{ name: "large", version: Number(version) }] }))
        );
        ["1e999", "1e12", "-1"].forEach(slots => it(`with ${slots} slots`, () => doTest({ slots: Number(slots) })));
        it("with an id that no header can carry", () => doTest({ id: "i-1\r\nx: y" }));
        it("with an id that is too long", () => doTest({ id: "i".repeat(257) }));
    });
});
