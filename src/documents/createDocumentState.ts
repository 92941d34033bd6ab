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

const emptyResult = new Uint8Array();
/** How many named versions of a model are kept: more than are named while engines take one. */
const maximumVersionsPerModel = 8;

/** Creates the state of a log without entries. */
export function createDocumentState(): DocumentState {
    const namedWeights = new Map<string, NamedWeightsVersion[]>();
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
        getNamedWeights: () => [...namedWeights.values()].flat(),
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
                    notifyListeners();
                }
                return emptyResult;
            case "nameWeights":
                addNamedVersion(command.value.model, command.value.weightsVersion, context.timeMilliseconds);
                return emptyResult;
            case undefined:
                return emptyResult;
            default:
                return assertNever(command);
        }
    }

    function addNamedVersion(model: string, weightsVersion: number, timeMilliseconds: number): void {
        const named = namedWeights.get(model) ?? [];
        if (weightsVersion > (named.at(-1)?.weightsVersion ?? 0)) {
            namedWeights.set(
                model,
                [...named, { model, weightsVersion, timeMilliseconds }].slice(-maximumVersionsPerModel),
            );
            notifyListeners();
        }
    }

    function takeSnapshot(): Uint8Array {
        const named = [...namedWeights.values()].flat().map(({ model, weightsVersion, timeMilliseconds }) =>
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
        namedWeights.clear();
        for (const { model, weightsVersion, timeMilliseconds } of snapshot.weights) {
            const named = { model, weightsVersion, timeMilliseconds: Number(timeMilliseconds) };
            namedWeights.set(model, [...namedWeights.get(model) ?? [], named]);
        }
        notifyListeners();
    }

    function notifyListeners(): void {
        changeCount += 1;
        listeners.forEach(listener => listener());
    }

    function addListener(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }
}
