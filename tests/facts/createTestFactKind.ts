import { FactDistribution, FactKind } from "../../src/facts";

/** Creates a kind of facts whose values are texts. */
export function createTestFactKind(changes: Partial<FactKind<string>> = {}): FactKind<string> {
    return {
        name: "test",
        lifetimeMilliseconds: 10_000,
        maximumCount: 100,
        distribution: FactDistribution.AllEntries,
        isUrgent: false,
        encode: value => Buffer.from(value),
        decode: bytes => {
            if (bytes.length === 0) {
                throw new Error("empty");
            }
            return Buffer.from(bytes).toString();
        },
        ...changes,
    };
}
