/*
 * Responds to the quota requests that processes send over their control sessions.
 */
import { create } from "@bufbuild/protobuf";
import { QuotaGrantSchema, SessionEvent, SessionEventSchema, SessionUpdate } from "../protocol";
import { QuotaOwner } from "./QuotaOwner";

/** An update from a process, with a function that replies to it. */
interface QuotaUpdate {
    instanceId: string;
    incarnation: string;
    update: SessionUpdate;
    reply: (event: SessionEvent) => void;
}

/**
 * Creates a handler of session updates that responds to quota requests and ignores other updates.
 * @param owner - The owner of the limits that are requested.
 */
export function createQuotaUpdateHandler(owner: QuotaOwner): (update: QuotaUpdate) => void {
    return ({ instanceId, incarnation, update, reply }) => {
        if (update.update.case !== "quotaRequest") {
            return;
        }
        // The wire's `level` is the limit's formatted name, and `spent` is the number of requests in flight.
        const { level, spent, wanted } = update.update.value;
        const amount = owner.grant(`${instanceId}/${incarnation}`, level, Number(spent), Number(wanted));
        if (amount === undefined) {
            return;
        }
        const { granted, validMilliseconds, refillPerSecond } = amount;
        const value = create(QuotaGrantSchema, { level, granted: BigInt(granted), validMilliseconds, refillPerSecond });
        reply(create(SessionEventSchema, { event: { case: "quota", value } }));
    };
}
