import { create, MessageInitShape } from "@bufbuild/protobuf";
import { DocumentDecoder, RoutingDocument } from "../../src/documents";
import { createFeedState, FeedState } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { readClocks } from "../../src/membership";
import {
    FleetInstance,
    FleetInstanceSchema,
    FleetViewSchema,
    PollOutcome,
    PollResponseSchema,
} from "../../src/protocol";
import { Clock } from "../../src/runtime";
import { createTestDocument } from "../documents/createTestDocument";

/** Decodes documents that are the JSON of a RoutingDocument. */
export const decodeTestDocument: DocumentDecoder = text => {
    try {
        return { kind: "decoded", document: JSON.parse(Buffer.from(text).toString()) as RoutingDocument };
    }
    catch {
        return { kind: "invalid", problem: "not JSON" };
    }
};

/**
 * Creates an engine of the fleet.
 * @param changes - Properties that replace the default ones.
 */
export function createTestInstance(changes: MessageInitShape<typeof FleetInstanceSchema> = {}): FleetInstance {
    return create(FleetInstanceSchema, {
        instanceId: "engine-1",
        service: "models",
        address: "10.0.0.1:80",
        dataCentre: "west",
        softwareVersion: "v1",
        weights: [{ model: "large", weightsVersion: 1 }],
        ...changes,
    } as MessageInitShape<typeof FleetInstanceSchema>);
}

/**
 * Creates the state of an entry process that has just received a document and a fleet view.
 * @param clock - Measures the state's ages.
 * @param instances - The instances of the fleet view.
 * @param changes - Properties of the document that replace the default ones.
 * @param targets - The named weights of the fleet view.
 */
export function createTestFeedState(
    clock: Clock,
    instances: readonly FleetInstance[],
    changes: Partial<RoutingDocument> = {},
    targets: { model: string; weightsVersion: number; ageMilliseconds: number; }[] = [],
): FeedState {
    const state = createEmptyTestFeedState(clock);
    updateTestFeedState(state, clock, instances, changes, targets);
    return state;
}

/**
 * Creates the state of an entry process that has received nothing yet.
 * @param clock - Measures the state's ages.
 */
export function createEmptyTestFeedState(clock: Clock): FeedState {
    return createFeedState({ decode: decodeTestDocument, clock, logger: createSilentLogger() });
}

/**
 * Updates the state with a response that contains a document and a fleet view.
 * @param state - The state.
 * @param clock - The clock of the state.
 * @param instances - The instances of the fleet view.
 * @param changes - Properties of the document that replace the default ones.
 * @param targets - The named weights of the fleet view.
 */
export function updateTestFeedState(
    state: FeedState,
    clock: Clock,
    instances: readonly FleetInstance[],
    changes: Partial<RoutingDocument> = {},
    targets: { model: string; weightsVersion: number; ageMilliseconds: number; }[] = [],
): void {
    const document = createTestDocument(changes);
    state.applyResponse(
        create(PollResponseSchema, {
            outcome: PollOutcome.CURRENT,
            documentVersion: BigInt(document.version),
            document: Buffer.from(JSON.stringify(document)),
            fleetRevision: "1.1",
            fleet: create(FleetViewSchema, { instances: [...instances], targets }),
            entryCount: 1,
        }),
        readClocks(clock),
    );
}
