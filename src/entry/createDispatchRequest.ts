/*
 * Creates the messages that dispatch attempts to sidecars.
 */
import { create } from "@bufbuild/protobuf";
import {
    CompletionWorkSchema,
    ContinuationSchema,
    DispatchRequest,
    DispatchRequestSchema,
    FencingNumber,
    ServiceWorkSchema,
} from "../protocol";
import { RouteStep } from "../routing";
import { AdmittedRequest } from "./AdmittedRequest";
import { EntryOptions } from "./EntryOptions";
import { RequestState } from "./RequestState";

/** The options that apply to some attempts only. */
interface DispatchOptions {
    /** The claim's fencing token and idempotency key, for a non-idempotent request. */
    claim?: { number: FencingNumber | undefined; idempotencyKey: string; };
    /** Whether the request must run with no other request on the same engine; false where absent. */
    runAlone?: boolean;
}

/**
 * Creates the message that dispatches an attempt.
 * @param options - The entry's options.
 * @param request - The admitted request.
 * @param state - The state that all attempts at the request share.
 * @param step - The sidecar to dispatch to, and whether it may redirect the request.
 * @param attempt - The attempt's number, from 1.
 * @param dispatchOptions - The options that apply to this attempt only.
 */
export function createDispatchRequest(
    options: EntryOptions,
    request: AdmittedRequest,
    state: RequestState,
    step: RouteStep,
    attempt: number,
    dispatchOptions: DispatchOptions = {},
): DispatchRequest {
    const { authority, clock } = options;
    const remainingMilliseconds = request.deadlineMilliseconds - clock.getMonotonicMilliseconds();
    const delivered = state.getDeliveredText();
    return create(DispatchRequestSchema, {
        requestId: request.requestId,
        attempt,
        configurationRevision: authority.getRevision(),
        senderLeaseFresh: authority.hasOwnAuthority(),
        workspace: request.subscriber.workspace,
        subscriber: request.subscriber.path,
        workspaceShareWeight: request.workspaceShareWeight,
        subscriberShareWeight: request.subscriberShareWeight,
        priority: request.priority,
        deadlineMilliseconds: Math.max(1, Math.round(remainingMilliseconds)),
        companionIncarnation: step.sidecar.incarnation,
        mayRedirect: step.mayRedirect && dispatchOptions.runAlone !== true && dispatchOptions.claim === undefined,
        acceptBelowMilliseconds: getAcceptBelowMilliseconds(step),
        claim: dispatchOptions.claim?.number,
        idempotencyKey: dispatchOptions.claim?.idempotencyKey,
        runAlone: dispatchOptions.runAlone,
        fingerprint: request.fingerprint,
        work: createWork(options, request, state),
        continuation: delivered.tokens === 0
            ? undefined
            : create(ContinuationSchema, { heldText: delivered.text, heldTokens: delivered.tokens }),
    });
}

/** Creates the part of the message that contains the completion request or service call. */
function createWork(options: EntryOptions, request: AdmittedRequest, state: RequestState): DispatchRequest["work"] {
    const { work } = request;
    if (work.kind === "service") {
        const { call } = work;
        const value = create(ServiceWorkSchema, {
            service: call.service,
            method: call.method,
            path: call.path,
            headers: [...call.headers],
            body: call.body,
            idempotent: call.isIdempotent,
        });
        return { case: "service", value };
    }
    const completion = work.request;
    const value = create(CompletionWorkSchema, {
        model: completion.model,
        version: state.getVersion() ?? "",
        prompt: "",
        body: Buffer.from(JSON.stringify(completion.body)),
        chat: completion.isChat,
        seed: state.seed,
        maximumTokens: completion.maximumTokens,
        prefixHashes: state.getPrefixHashes().map(hash => Buffer.from(hash, "hex")),
        promptTokensEstimate: Math.ceil(Buffer.byteLength(completion.prompt) / options.routing.bytesPerToken),
    });
    return { case: "completion", value };
}

/** Gets the cost up to which the sidecar should accept the request, in milliseconds; 0 lets the sidecar decide. */
function getAcceptBelowMilliseconds(step: RouteStep): number {
    const { acceptBelowMilliseconds } = step;
    const hasLimit = acceptBelowMilliseconds !== undefined && Number.isFinite(acceptBelowMilliseconds);
    return hasLimit ? Math.max(1, Math.round(acceptBelowMilliseconds)) : 0;
}
