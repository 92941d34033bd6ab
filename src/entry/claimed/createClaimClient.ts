/*
 * Opens and settles claims through the control members. Both commands are idempotent, so a command whose response was
 * lost is sent again.
 */
import { create } from "@bufbuild/protobuf";
import { ControlClient, ExecuteResult } from "../../control";
import { HistogramName } from "../../metrics";
import {
    Claim,
    ClaimOutcome,
    ClaimResult,
    ClaimState,
    Command,
    CommandSchema,
    FencingNumber,
    ProcessRecord,
    StoredAnswer,
} from "../../protocol";
import { AdmittedRequest } from "../AdmittedRequest";
import { EntryOptions } from "../EntryOptions";
import { ClaimClient } from "./ClaimClient";
import { OpenClaimOutcome } from "./OpenClaimOutcome";

const openTimeoutMilliseconds = 5_000;
const settleTimeoutMilliseconds = 30_000;
const initialRetryDelayMilliseconds = 20;
const maximumRetryDelayMilliseconds = 500;

/**
 * Creates the client that opens and settles claims.
 * @param options - The entry's options, of which the clock, the logger, the metrics and the random source are used.
 * @param control - The client of the control members.
 */
export function createClaimClient(options: EntryOptions, control: ControlClient): ClaimClient {
    const { clock, logger, metrics, random } = options;
    return { open, settle };

    async function open(
        request: AdmittedRequest,
        idempotencyKey: string,
        sidecar: ProcessRecord | undefined,
        forbidden: FencingNumber | undefined,
    ): Promise<OpenClaimOutcome> {
        const startMilliseconds = clock.getMonotonicMilliseconds();
        const command = create(CommandSchema, {
            command: {
                case: "openClaim",
                value: {
                    claim: {
                        workspace: request.subscriber.workspace,
                        idempotencyKey,
                        bodyDigest: request.fingerprint,
                        requestId: request.requestId,
                        companion: sidecar?.instanceId,
                        companionAddress: sidecar?.address,
                        companionIncarnation: sidecar?.incarnation,
                    },
                    forbidden,
                },
            },
        });
        const deadlineMilliseconds = Math.min(
            request.deadlineMilliseconds,
            startMilliseconds + openTimeoutMilliseconds,
        );
        const executed = await executeWithRetries(command, deadlineMilliseconds);
        metrics.recordMilliseconds(HistogramName.ClaimTime, clock.getMonotonicMilliseconds() - startMilliseconds);
        if (executed.kind !== "committed") {
            return { kind: "unavailable", reason: executed.reason };
        }
        return executed.result.result.case === "claim"
            ? getOpenClaimOutcome(executed.result.result.value)
            : { kind: "unavailable", reason: "The control members returned a result of another type." };
    }

    async function settle(
        claim: Claim,
        state: ClaimState,
        response?: StoredAnswer,
        timeoutMilliseconds = settleTimeoutMilliseconds,
    ): Promise<Claim | undefined> {
        const { idempotencyKey, number, requestId, workspace } = claim;
        const value = { workspace, idempotencyKey, number, state, answer: response };
        const command = create(CommandSchema, { command: { case: "settleClaim", value } });
        const executed = await executeWithRetries(command, clock.getMonotonicMilliseconds() + timeoutMilliseconds);
        if (executed.kind !== "committed") {
            logger.warn({ requestId, reason: executed.reason }, "claim was not settled");
            return undefined;
        }
        return executed.result.result.case === "claim" ? executed.result.result.value.claim : undefined;
    }

    /** Sends a command until it is committed or the deadline has passed, with exponential backoff and jitter. */
    async function executeWithRetries(command: Command, deadlineMilliseconds: number): Promise<ExecuteResult> {
        let retryDelayMilliseconds = initialRetryDelayMilliseconds;
        while (true) {
            const executed = await control.execute(command);
            if (executed.kind === "committed" || clock.getMonotonicMilliseconds() >= deadlineMilliseconds) {
                return executed;
            }
            await clock.sleep(retryDelayMilliseconds * (1 + random.getFraction()));
            retryDelayMilliseconds = Math.min(retryDelayMilliseconds * 2, maximumRetryDelayMilliseconds);
        }
    }
}

function getOpenClaimOutcome({ claim, outcome }: ClaimResult): OpenClaimOutcome {
    switch (outcome) {
        case ClaimOutcome.BODY_DIFFERS:
            return { kind: "bodyDiffers" };
        case ClaimOutcome.FULL:
            return { kind: "full" };
        default:
            break;
    }
    if (claim === undefined) {
        return { kind: "absent" };
    }
    switch (outcome) {
        case ClaimOutcome.GRANTED:
            return { kind: "granted", claim };
        case ClaimOutcome.SETTLED:
            return { kind: "settled", claim };
        default:
            return { kind: "held", claim };
    }
}
