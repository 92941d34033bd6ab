/*
 * The state machine of routing documents. The highest version wins, regardless of the order in which versions arrive;
 * different content under the current version is ignored. The same holds for the named weights versions of each model.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { ApplyContext } from "../control/consensus";
import { assertNever } from "../errors";
import {
    DocumentCommandSchema,
    DocumentSnapshotSchema,
    NamedWeightsSchema,
    QuarantinedSubjectRecordSchema,
} from "../protocol";
import { DocumentState } from "./DocumentState";
import { getSubjectGroup } from "./getSubjectGroup";
import { NamedWeightsVersion } from "./NamedWeightsVersion";
import { QuarantinedSubject } from "./QuarantinedSubject";

const emptyResult = new Uint8Array();
/** How many named versions are stored for each model: more than are named while an engine loads one. */
const maximumVersionsPerModel = 8;
/**
 * How many subjects are stored; beyond it, the oldest of the workspace with most of them is dropped, and its quarantine
 * ends, so that no workspace can end the quarantine of what another one sends.
 */
const maximumQuarantinedSubjects = 1_024;

/** Creates the state that belongs to an empty log. */
export function createDocumentState(): DocumentState {
    const namedWeights = new Map<string, NamedWeightsVersion[]>();
    const quarantinedSubjects = new Map<string, QuarantinedSubject>();
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
        getQuarantinedSubjects: () => [...quarantinedSubjects.values()],
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
            case "quarantineSubject":
                setQuarantinedSubject({
                    ...command.value,
                    timeMilliseconds: context.timeMilliseconds,
                    isReleased: false,
                });
                return emptyResult;
            case "releaseSubject":
                releaseSubject(command.value.subjectId, context.timeMilliseconds);
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

    function setQuarantinedSubject({ subjectId, instanceIds, timeMilliseconds, isReleased }: QuarantinedSubject): void {
        quarantinedSubjects.delete(subjectId);
        quarantinedSubjects.set(subjectId, { subjectId, instanceIds, timeMilliseconds, isReleased });
        if (quarantinedSubjects.size > maximumQuarantinedSubjects) {
            quarantinedSubjects.delete(getOldestOfLargestGroup([...quarantinedSubjects.keys()]));
        }
        notifyListeners();
    }

    function releaseSubject(subjectId: string, timeMilliseconds: number): void {
        const subject = quarantinedSubjects.get(subjectId);
        if (subject && !subject.isReleased) {
            setQuarantinedSubject({ ...subject, timeMilliseconds, isReleased: true });
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
            quarantinedSubjects: [...quarantinedSubjects.values()].map(subject =>
                create(QuarantinedSubjectRecordSchema, {
                    ...subject,
                    instanceIds: [...subject.instanceIds],
                    timeMilliseconds: BigInt(subject.timeMilliseconds),
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
        quarantinedSubjects.clear();
        for (const { subjectId, instanceIds, timeMilliseconds, isReleased } of snapshot.quarantinedSubjects) {
            const subject = { subjectId, instanceIds, timeMilliseconds: Number(timeMilliseconds), isReleased };
            quarantinedSubjects.set(subjectId, subject);
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

/** Gets the first one of the subjects of which there are most in a group. */
function getOldestOfLargestGroup(subjectIds: readonly string[]): string {
    const groups = new Map<string, string[]>();
    for (const subjectId of subjectIds) {
        const group = getSubjectGroup(subjectId);
        groups.set(group, groups.get(group) ?? []);
        groups.get(group)!.push(subjectId);
    }
    const [largest] = [...groups.values()].sort((left, right) => right.length - left.length);
    return largest![0]!;
}
