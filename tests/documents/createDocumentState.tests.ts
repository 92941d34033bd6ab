import { create, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import * as fc from "fast-check";
import { createDocumentState, DocumentState } from "../../src/documents";
import { DocumentCommandSchema } from "../../src/protocol";

describe("createDocumentState", () => {
    const context = { term: 1n, index: 1n, timeMilliseconds: 500 };

    function put(state: DocumentState, version: number, text: string) {
        const command = {
            case: "putDocument" as const,
            value: { version: BigInt(version), document: Buffer.from(text) },
        };
        state.apply(toBinary(DocumentCommandSchema, create(DocumentCommandSchema, { command })), context);
    }

    function name(state: DocumentState, model: string, weightsVersion: number) {
        const command = { case: "nameWeights" as const, value: { model, weightsVersion } };
        state.apply(toBinary(DocumentCommandSchema, create(DocumentCommandSchema, { command })), context);
    }

    const getText = (state: DocumentState) => Buffer.from(state.getText()).toString();

    it("keeps the highest version, whatever the order", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }), versions => {
                const state = createDocumentState();
                versions.forEach(version => put(state, version, `text ${version}`));
                const highest = Math.max(...versions);
                expect(state.getVersion()).to.equal(highest);
                expect(getText(state)).to.equal(`text ${highest}`);
            }),
            { seed: 11, numRuns: 200 },
        );
    });

    it("never takes other content under the version held", () => {
        const state = createDocumentState();
        put(state, 5, "first");
        put(state, 5, "second");
        expect(getText(state)).to.equal("first");
    });

    it("keeps the named weights of each model in order, and none that a higher one had overtaken", () => {
        const state = createDocumentState();
        name(state, "large", 3);
        name(state, "large", 2);
        name(state, "large", 5);
        name(state, "small", 1);
        expect(state.getNamedWeights()).to.deep.equal([
            { model: "large", weightsVersion: 3, timeMilliseconds: 500 },
            { model: "large", weightsVersion: 5, timeMilliseconds: 500 },
            { model: "small", weightsVersion: 1, timeMilliseconds: 500 },
        ]);
    });

    it("comes back whole from a snapshot", () => {
        const state = createDocumentState();
        put(state, 9, "nine");
        name(state, "large", 4);
        const other = createDocumentState();
        put(other, 12, "gone");
        other.restoreSnapshot(state.takeSnapshot());
        expect([other.getVersion(), getText(other), other.getNamedWeights()])
            .to.deep.equal([9, "nine", state.getNamedWeights()]);
    });

    it("tells of changes alone", () => {
        const state = createDocumentState();
        let count = 0;
        state.addListener(() => count += 1);
        put(state, 2, "two");
        put(state, 1, "one");
        name(state, "large", 1);
        name(state, "large", 1);
        expect(count).to.equal(2);
    });
});
