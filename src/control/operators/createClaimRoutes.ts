/*
 * The endpoints of claims, and of the quarantine, which blocks requests that crash engines.
 */
import { create, toJson } from "@bufbuild/protobuf";
import {
    ClaimOutcome,
    ClaimResultSchema,
    ClaimState,
    CommandSchema,
    QuarantineResultSchema,
    QueryKind,
    ReleaseQuarantineSchema,
    ResolveClaimSchema,
} from "../../protocol";
import { JsonSchema } from "../../settings/validation";
import { ControlClient } from "../ControlClient";
import { createBodyCheck } from "./createBodyCheck";
import { createErrorResponse } from "./createErrorResponse";
import { createExecutionFailureResponse } from "./createExecutionFailureResponse";
import { createQueryResponse } from "./createQueryResponse";
import { OperatorRequest } from "./OperatorRequest";
import { OperatorResponse } from "./OperatorResponse";
import { OperatorRole } from "./OperatorRole";
import { OperatorRoute } from "./OperatorRoute";

/** The states to which an operator may resolve a claim. */
type ResolvedState = "answered" | "abandoned" | "unknown";

/** The body that resolves a claim. */
interface ResolveBody {
    /** The workspace that the key belongs to. */
    workspace: string;
    /** The idempotency key that the caller sent. */
    idempotencyKey: string;
    /** The state that the operator has established. */
    state: ResolvedState;
}

const resolveBodySchema: JsonSchema = {
    type: "object",
    additionalProperties: false,
    required: ["workspace", "idempotencyKey", "state"],
    properties: {
        workspace: { type: "string", minLength: 1, maxLength: 64 },
        idempotencyKey: { type: "string", minLength: 1, maxLength: 255 },
        state: { enum: ["answered", "abandoned", "unknown"] },
    },
};

const releaseBodySchema: JsonSchema = {
    type: "object",
    additionalProperties: false,
    required: ["fingerprint"],
    properties: { fingerprint: { type: "string", pattern: "^(?:[0-9a-f]{2}){1,64}$" } },
};

/**
 * Creates the endpoints of claims and the quarantine.
 * @param client - Commits commands and runs queries.
 */
export function createClaimRoutes(client: ControlClient): readonly OperatorRoute[] {
    const checkResolveBody = createBodyCheck(resolveBodySchema);
    const checkReleaseBody = createBodyCheck(releaseBodySchema);
    return [
        { method: "GET", path: "/v1/claims", role: OperatorRole.Read, handle: getClaims },
        { method: "POST", path: "/v1/claims/resolve", role: OperatorRole.Change, handle: resolveClaim },
        { method: "GET", path: "/v1/quarantine", role: OperatorRole.Read, handle: getQuarantine },
        { method: "POST", path: "/v1/quarantine/release", role: OperatorRole.Change, handle: releaseQuarantine },
    ];

    /** Lists the claims in a state; without the parameter `state`, those whose outcome is unknown. */
    function getClaims(request: OperatorRequest): Promise<OperatorResponse> {
        return createQueryResponse(client, request, QueryKind.CLAIMS, request.parameters.get("state") ?? "");
    }

    function getQuarantine(request: OperatorRequest): Promise<OperatorResponse> {
        return createQueryResponse(client, request, QueryKind.QUARANTINE, "");
    }

    async function resolveClaim(request: OperatorRequest): Promise<OperatorResponse> {
        const refusal = checkResolveBody(request.body);
        if (refusal !== undefined) {
            return refusal;
        }
        const { workspace, idempotencyKey, state } = request.body as ResolveBody;
        const value = create(ResolveClaimSchema, {
            workspace,
            idempotencyKey,
            author: request.operatorName,
            state: getClaimState(state),
        });
        const command = create(CommandSchema, { command: { case: "resolveClaim", value } });
        const executed = await client.execute(command, request.signal);
        if (executed.kind !== "committed") {
            return createExecutionFailureResponse(executed, request.signal);
        }
        const { result } = executed.result;
        if (result.case !== "claim") {
            return createErrorResponse(500, "unknown_outcome", "The control members gave no outcome of the resolution");
        }
        const isSettled = result.value.outcome === ClaimOutcome.SETTLED;
        return { status: isSettled ? 200 : 409, body: toJson(ClaimResultSchema, removeStoredResponse(result.value)) };
    }

    async function releaseQuarantine(request: OperatorRequest): Promise<OperatorResponse> {
        const refusal = checkReleaseBody(request.body);
        if (refusal !== undefined) {
            return refusal;
        }
        const { fingerprint } = request.body as { fingerprint: string; };
        const value = create(ReleaseQuarantineSchema, {
            fingerprint: Buffer.from(fingerprint, "hex"),
            author: request.operatorName,
        });
        const command = create(CommandSchema, { command: { case: "releaseQuarantine", value } });
        const executed = await client.execute(command, request.signal);
        if (executed.kind !== "committed") {
            return createExecutionFailureResponse(executed, request.signal);
        }
        const { result } = executed.result;
        return result.case === "quarantine"
            ? { status: 200, body: toJson(QuarantineResultSchema, result.value) }
            : createErrorResponse(500, "unknown_outcome", "The control members gave no outcome of the release");
    }
}

function getClaimState(state: ResolvedState): ClaimState {
    switch (state) {
        case "answered":
            return ClaimState.ANSWERED;
        case "abandoned":
            return ClaimState.ABANDONED;
        case "unknown":
            return ClaimState.UNKNOWN;
    }
}

/** Removes the stored response from a claim: it was sent to a caller, and operators must not see its content. */
function removeStoredResponse(result: ReturnType<typeof create<typeof ClaimResultSchema>>): typeof result {
    const claim = result.claim === undefined ? undefined : { ...result.claim, answer: undefined };
    return create(ClaimResultSchema, { ...result, claim });
}
