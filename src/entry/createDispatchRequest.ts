/*
 * Writes down what a sidecar needs to know of an attempt.
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

/** What is special about an attempt. */
interface DispatchOptions {
    /** The claim's number and key, for a request that may not be repeated. */
    claim?: { number: FencingNumber | undefined; idempotencyKey: string; };
    /** Whether no other request may run beside it. */
    runAlone?: boolean;
}

/** Creates the message that dispatches an attempt. */
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

/** Creates the part of the message that says what is to be done. */
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

/** Gets the cost up to which the sidecar should take the request; 0 leaves it to the sidecar. */
function getAcceptBelowMilliseconds(step: RouteStep): number {
    const { acceptBelowMilliseconds } = step;
    const hasLimit = acceptBelowMilliseconds !== undefined && Number.isFinite(acceptBelowMilliseconds);
    return hasLimit ? Math.max(1, Math.round(acceptBelowMilliseconds)) : 0;
}
