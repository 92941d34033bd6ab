/*
 * The state machine of routing documents. The highest version wins, regardless of the order in which versions arrive;
 * different content under the current version is ignored. The same holds for the named weights versions of each model.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { ApplyContext } from "../control/consensus";
import { assertNever } from "../errors";
import { DocumentCommandSchema, DocumentSnapshotSchema, NamedWeightsSchema, QuarantinedPartSchema } from "../protocol";
import { DocumentState } from "./DocumentState";
import { NamedWeightsVersion } from "./NamedWeightsVersion";
import { QuarantinedPromptPart } from "./QuarantinedPromptPart";

const emptyResult = new Uint8Array();
/** How many named versions are stored for each model: more than are named while an engine loads one. */
const maximumVersionsPerModel = 8;
/** How many parts of prompts are stored; beyond it, the oldest is dropped, and its quarantine ends. */
const maximumQuarantinedParts = 1_024;

/** Creates the state that belongs to an empty log. */
export function createDocumentState(): DocumentState {
    const namedWeights = new Map<string, NamedWeightsVersion[]>();
    const quarantinedParts = new Map<string, QuarantinedPromptPart>();
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
        getQuarantinedParts: () => [...quarantinedParts.values()],
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
            case "quarantinePart":
                setQuarantinedPart({
                    ...command.value,
                    timeMilliseconds: context.timeMilliseconds,
                    isReleased: false,
                });
                return emptyResult;
            case "releasePart":
                releasePart(command.value.partId, context.timeMilliseconds);
                return emptyResult;
            case undefined:
                return emptyResult;
            default:
                return assertNever(command);
        }
    }

    function addNamedVersion(model: string, weightsVersion: number, timeMilliseconds: number): void {
        const versions = namedWeights.get(model) ?? [];
        if (weightsVersion > (versions.at(-1)?.weightsVersion ?? 0)) {
            namedWeights.set(
                model,
                [...versions, { model, weightsVersion, timeMilliseconds }].slice(-maximumVersionsPerModel),
            );
            notifyListeners();
        }
    }

    function setQuarantinedPart({ partId, instanceIds, timeMilliseconds, isReleased }: QuarantinedPromptPart): void {
        quarantinedParts.delete(partId);
        quarantinedParts.set(partId, { partId, instanceIds, timeMilliseconds, isReleased });
        if (quarantinedParts.size > maximumQuarantinedParts) {
            const [oldest] = quarantinedParts.keys();
            quarantinedParts.delete(oldest!);
        }
        notifyListeners();
    }

    function releasePart(partId: string, timeMilliseconds: number): void {
        const part = quarantinedParts.get(partId);
        if (part && !part.isReleased) {
            setQuarantinedPart({ ...part, timeMilliseconds, isReleased: true });
        }
    }

    function takeSnapshot(): Uint8Array {
        const weights = [...namedWeights.values()].flat().map(({ model, weightsVersion, timeMilliseconds }) =>
            create(NamedWeightsSchema, {
                model,
                weightsVersion,
                timeMilliseconds: BigInt(timeMilliseconds),
            })
        );
        const snapshot = create(DocumentSnapshotSchema, {
            version: BigInt(version),
            document: text,
            weights,
            quarantinedParts: [...quarantinedParts.values()].map(part =>
                create(QuarantinedPartSchema, {
                    ...part,
                    instanceIds: [...part.instanceIds],
                    timeMilliseconds: BigInt(part.timeMilliseconds),
                })
            ),
        });
        return toBinary(DocumentSnapshotSchema, snapshot);
    }

    function restoreSnapshot(bytes: Uint8Array): void {
        const snapshot = fromBinary(DocumentSnapshotSchema, bytes);
        version = Number(snapshot.version);
        text = snapshot.document;
        namedWeights.clear();
        for (const { model, weightsVersion, timeMilliseconds } of snapshot.weights) {
            const namedVersion = { model, weightsVersion, timeMilliseconds: Number(timeMilliseconds) };
            namedWeights.set(model, [...namedWeights.get(model) ?? [], namedVersion]);
        }
        quarantinedParts.clear();
        for (const { partId, instanceIds, timeMilliseconds, isReleased } of snapshot.quarantinedParts) {
            const part = { partId, instanceIds, timeMilliseconds: Number(timeMilliseconds), isReleased };
            quarantinedParts.set(partId, part);
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
