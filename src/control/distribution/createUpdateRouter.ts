/*
 * The routing of events and updates between processes and the control members that handle them. An order report goes to the
 * leader, a quota request to the member that owns the level, and an event to the member that has the process's session.
 */
import { create } from "@bufbuild/protobuf";
import {
    RelayRequest,
    RelayRequestSchema,
    RelayResponse,
    RelayResponseSchema,
    SessionEvent,
    SessionUpdate,
} from "../../protocol";
import { chooseQuotaOwner } from "./chooseQuotaOwner";
import { ProcessUpdate } from "./ProcessUpdate";
import { UpdateRouter } from "./UpdateRouter";
import { UpdateRouterOptions } from "./UpdateRouterOptions";

/** Creates the update router of one control member. */
export function createUpdateRouter(options: UpdateRouterOptions): UpdateRouter {
    const { identity, log, peers, reports, getHub, logger } = options;
    const handlers = new Set<(update: ProcessUpdate) => void>();
    return { routeUpdate, relay, sendEvent, addHandler };

    function routeUpdate(update: ProcessUpdate): void {
        const address = getHandlerAddress(update.update);
        if (address === identity.address) {
            handlers.forEach(handler => handler(update));
        }
        else if (address !== undefined) {
            void relayUpdate(address, update);
        }
    }

    /** Gets the address of the member that handles an update; undefined if it is unknown. */
    function getHandlerAddress({ update }: SessionUpdate): string | undefined {
        const { leaderAddress, members } = log.getStatus();
        if (update.case !== "quotaRequest") {
            return leaderAddress;
        }
        return chooseQuotaOwner(update.value.level, members.map(member => member.address));
    }

    async function relayUpdate(address: string, update: ProcessUpdate): Promise<void> {
        const { instanceId, incarnation } = update;
        await send(address, { updates: [{ instanceId, incarnation, update: update.update }], events: [] });
    }

    async function send(
        address: string,
        content: Pick<RelayRequest, "updates" | "events"> | { updates: object[]; events: object[]; },
    ): Promise<RelayResponse | undefined> {
        const { group, address: senderAddress } = identity;
        const request = create(RelayRequestSchema, { group, senderAddress, ...content });
        const outcome = await peers.relay(address, request);
        if (outcome.kind === "answered") {
            return outcome.response;
        }
        logger.debug({ member: address, reason: outcome.reason }, "could not relay to a control member");
        return undefined;
    }

    function relay(request: RelayRequest): RelayResponse {
        const hub = getHub();
        const unknownInstanceIds = request.events
            .filter(({ instanceId, event }) => event !== undefined && !hub.send(instanceId, event))
            .map(({ instanceId }) => instanceId);
        for (const { instanceId, incarnation, update } of request.updates) {
            if (update !== undefined) {
                handleRelayedUpdate(request.senderAddress, { instanceId, incarnation, update });
            }
        }
        return create(RelayResponseSchema, { unknownInstanceIds });
    }

    function handleRelayedUpdate(senderAddress: string, update: Omit<ProcessUpdate, "reply">): void {
        const reply = (event: SessionEvent) => void relayEvent(senderAddress, update.instanceId, event);
        handlers.forEach(handler => handler({ ...update, reply }));
    }

    async function relayEvent(address: string, instanceId: string, event: SessionEvent): Promise<boolean> {
        const response = await send(address, { updates: [], events: [{ instanceId, event }] });
        return response !== undefined && response.unknownInstanceIds.length === 0;
    }

    async function sendEvent(instanceId: string, event: SessionEvent): Promise<boolean> {
        if (getHub().send(instanceId, event)) {
            return true;
        }
        const addresses = reports.getAll()
            .filter(report => [...report.holders.values()].some(holder => holder.instanceId === instanceId))
            .map(report => report.address);
        for (const address of new Set(addresses)) {
            if (await relayEvent(address, instanceId, event)) {
                return true;
            }
        }
        return false;
    }

    function addHandler(handler: (update: ProcessUpdate) => void): () => void {
        handlers.add(handler);
        return () => handlers.delete(handler);
    }
}
