/*
 * The RPC service that control members offer to entry processes, sidecars, operators and each other.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import {
    ControlService,
    InForceOutcome,
    WaitInForceRequest,
    WaitInForceResponse,
    WaitInForceResponseSchema,
} from "../../protocol";
import { CommandExecutor } from "./CommandExecutor";
import { Distribution } from "./Distribution";
import { InForceCheck } from "./InForceCheck";
import { QueryHandler } from "./QueryHandler";

const maximumWaitMilliseconds = 60_000;

/**
 * Adds the control service to a listener.
 * @param router - The router that the service is added to.
 * @param member - The parts of the control member that handle the calls.
 */
export function addControlService(
    router: ConnectRouter,
    member: { distribution: Distribution; executor: CommandExecutor; queries: QueryHandler; },
): void {
    const { distribution, executor, queries } = member;
    router.service(ControlService, {
        session: (updates, context) => distribution.serveSession(updates, context.signal),
        execute: request => executor.execute(request),
        query: request => queries.handle(request),
        shareState: request => distribution.shareState(request),
        relay: request => distribution.relay(request),
        waitInForce,
    });

    async function waitInForce(request: WaitInForceRequest): Promise<WaitInForceResponse> {
        const milliseconds = Math.min(request.waitMilliseconds, maximumWaitMilliseconds);
        return createResponse(await distribution.waitInForce(request.configurationRevision, milliseconds));
    }
}

function createResponse(check: InForceCheck): WaitInForceResponse {
    switch (check.kind) {
        case "inForce":
            return create(WaitInForceResponseSchema, { outcome: InForceOutcome.IN_FORCE });
        case "pending":
            return create(WaitInForceResponseSchema, {
                outcome: InForceOutcome.PENDING,
                waitingFor: [...check.waitingFor],
            });
        case "noLeader":
            return create(WaitInForceResponseSchema, { outcome: InForceOutcome.NO_LEADER });
    }
}
