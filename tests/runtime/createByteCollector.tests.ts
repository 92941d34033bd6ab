import { expect } from "chai";
import fc from "fast-check";
import { createByteCollector } from "../../src/runtime";

describe("createByteCollector", () => {
    it("returns the bytes in order, whatever their parts and whenever they are taken", () => {
        const partLengths = fc.oneof(fc.integer({ min: 0, max: 40 }), fc.integer({ min: 0, max: 40_000 }));
        fc.assert(
            fc.property(
                fc.array(fc.record({ partLength: partLengths, isTaken: fc.boolean() }), { maxLength: 40 }),
                steps => {
                    const collector = createByteCollector();
                    const added: Uint8Array[] = [];
                    const taken: Uint8Array[] = [];
                    for (const [index, { partLength, isTaken }] of steps.entries()) {
                        const part = Buffer.alloc(partLength, index + 1);
                        added.push(part);
                        collector.add(part);
                        if (isTaken) {
                            taken.push(...collector.takeParts());
                        }
                    }
                    const remainingBytes = Buffer.concat(added).length - Buffer.concat(taken).length;
                    expect(collector.getLength()).to.equal(remainingBytes);
                    taken.push(...collector.takeParts());
                    expect(Buffer.concat(taken).equals(Buffer.concat(added))).to.equal(true);
                    expect(collector.getLength()).to.equal(0);
                },
            ),
            { seed: 49, numRuns: 300 },
        );
    });

    it("joins parts of one byte, which would occupy far more memory as they are", () => {
        const collector = createByteCollector();
        for (let count = 0; count < 100_000; count++) {
            collector.add(Buffer.from("x"));
        }
        expect(collector.takeParts()).to.have.lengthOf.at.most(10);
    });
});
