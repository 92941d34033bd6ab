import { create, MessageInitShape } from "@bufbuild/protobuf";
import { DocumentDecoder, RoutingDocument } from "../../src/documents";
import { createFeedState, FeedState } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { readStopwatch } from "../../src/membership";
import {
    FleetInstance,
    FleetInstanceSchema,
    FleetViewSchema,
    PollOutcome,
    PollResponseSchema,
} from "../../src/protocol";
import { Clock } from "../../src/runtime";
import { createTestDocument } from "../documents/createTestDocument";

/** Reads documents that are JSON of the product's own type. */
export const decodeTestDocument: DocumentDecoder = text => {
    try {
        return { kind: "decoded", document: JSON.parse(Buffer.from(text).toString()) as RoutingDocument };
    }
    catch {
        return { kind: "invalid", problem: "not JSON" };
    }
};

/** Creates a backend server of the fleet. */
export function createTestInstance(changes: MessageInitShape<typeof FleetInstanceSchema> = {}): FleetInstance {
    return create(FleetInstanceSchema, {
        instanceId: "engine-1",
        service: "models",
        address: "10.0.0.1:80",
        dataCentre: "west",
        weights: [{ model: "large", weightsVersion: 1 }],
        ...changes,
    } as MessageInitShape<typeof FleetInstanceSchema>);
}

/** Creates the state of an entry that has just heard of a document and a fleet. */
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

/** Creates the state of an entry that has just started. */
export function createEmptyTestFeedState(clock: Clock): FeedState {
    return createFeedState({ decode: decodeTestDocument, clock, logger: createSilentLogger() });
}

/** Lets an entry hear of a document and a fleet. */
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
        readStopwatch(clock),
    );
}
