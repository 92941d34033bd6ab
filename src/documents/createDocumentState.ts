/*
 * The state machine of whole documents: the highest version wins, whatever the order in which versions arrive, and other
 * content under a version that is held changes nothing. The same holds for named weights.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { ApplyContext } from "../control/consensus";
import { assertNever } from "../errors";
import { DocumentCommandSchema, DocumentSnapshotSchema, NamedWeightsSchema } from "../protocol";
import { DocumentState } from "./DocumentState";
import { NamedWeightsVersion } from "./NamedWeightsVersion";

const noResult = new Uint8Array();
/** How many named versions of a model are kept: more than are named while engines take one. */
const keptVersions = 8;

/** Creates the state of a log without entries. */
export function createDocumentState(): DocumentState {
    const weights = new Map<string, NamedWeightsVersion[]>();
    const listeners = new Set<() => void>();
    let version = 0;
    let text: Uint8Array = new Uint8Array();
    let changeCount = 0;
    return {
        apply,
        takeSnapshot,
        restoreSnapshot,
        getVersion: () => version,
        getText: () => text,
        getNamedWeights: () => [...weights.values()].flat(),
        getChangeCount: () => changeCount,
        addListener,
    };

    function apply(bytes: Uint8Array, context: ApplyContext): Uint8Array {
        const { command } = fromBinary(DocumentCommandSchema, bytes);
        switch (command.case) {
            case "putDocument":
                if (Number(command.value.version) > version) {
                    version = Number(command.value.version);
                    text = command.value.document;
                    announce();
                }
                return noResult;
            case "nameWeights":
                nameWeights(command.value.model, command.value.weightsVersion, context.timeMilliseconds);
                return noResult;
            case undefined:
                return noResult;
            default:
                return assertNever(command);
        }
    }

    function nameWeights(model: string, weightsVersion: number, timeMilliseconds: number): void {
        const named = weights.get(model) ?? [];
        if (weightsVersion > (named.at(-1)?.weightsVersion ?? 0)) {
            weights.set(model, [...named, { model, weightsVersion, timeMilliseconds }].slice(-keptVersions));
            announce();
        }
    }

    function takeSnapshot(): Uint8Array {
        const named = [...weights.values()].flat().map(({ model, weightsVersion, timeMilliseconds }) =>
            create(NamedWeightsSchema, {
                model,
                weightsVersion,
                timeMilliseconds: BigInt(timeMilliseconds),
            })
        );
        const snapshot = create(DocumentSnapshotSchema, { version: BigInt(version), document: text, weights: named });
        return toBinary(DocumentSnapshotSchema, snapshot);
    }

    function restoreSnapshot(bytes: Uint8Array): void {
        const snapshot = fromBinary(DocumentSnapshotSchema, bytes);
        version = Number(snapshot.version);
        text = snapshot.document;
        weights.clear();
        for (const { model, weightsVersion, timeMilliseconds } of snapshot.weights) {
            const named = { model, weightsVersion, timeMilliseconds: Number(timeMilliseconds) };
            weights.set(model, [...weights.get(model) ?? [], named]);
        }
        announce();
    }

    function announce(): void {
        changeCount += 1;
        listeners.forEach(listener => listener());
    }

    function addListener(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }
}
