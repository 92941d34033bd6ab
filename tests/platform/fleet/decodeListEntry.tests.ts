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
        born: 1_790_000_000_000,
        stage: "unified",
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

    it("decodes the version of the software", () => expect(decodeOrThrow({}).softwareVersion).to.equal("v1"));

    it("decodes when the backend server started, where that is known", () => {
        expect(decodeOrThrow({}).startMilliseconds).to.equal(1_790_000_000_000);
        expect(decodeOrThrow({ born: undefined }).startMilliseconds).to.equal(0);
    });

    it("decodes an entry of a plain service, which has no stage and no models", () =>
        expect(decodeOrThrow({ stage: undefined, models: undefined }).weights).to.deep.equal([]));

    it("returns a problem for an invalid entry, and never throws", () => {
        const fieldName = fc.constantFrom("id", "service", "address", "zone", "version", "state", "models");
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
        // Review, case 3: such entries got requests, and with the state "draining" took the server with their id out.
        ["id", "service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "stage", "models"]
            .forEach(
                name => it(`without the field ${name}`, () => doTest({ [name]: undefined })),
            );
        it("with a start time that is no whole number", () => doTest({ born: 1.5 }));
        it("with a time of another type", () => doTest({ cold_remaining_ms: "0" }));
        it("with a state that is not known", () => doTest({ state: "joining" }));
        it("with an id that no header can carry", () => doTest({ id: "i-1\r\nx: y" }));
        it("with an id that is too long", () => doTest({ id: "i".repeat(257) }));
    });
});
