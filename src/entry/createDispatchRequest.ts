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
import { AttemptState } from "./AttemptState";
import { EntryOptions } from "./EntryOptions";

/** What is special about an attempt. */
interface DispatchExtras {
    /** The claim's number and key, for a request that may not be repeated. */
    claim?: { number: FencingNumber | undefined; idempotencyKey: string; };
    /** Whether no other request may run beside it. */
    runAlone?: boolean;
}

/** Creates the message that dispatches an attempt. */
export function createDispatchRequest(
    options: EntryOptions,
    request: AdmittedRequest,
    state: AttemptState,
    step: RouteStep,
    attempt: number,
    extras: DispatchExtras = {},
): DispatchRequest {
    const { authority, clock } = options;
    const remaining = request.deadlineMilliseconds - clock.getMonotonicMilliseconds();
    const held = state.getHeldText();
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
        deadlineMilliseconds: Math.max(1, Math.round(remaining)),
        companionIncarnation: step.sidecar.incarnation,
        mayRedirect: step.mayRedirect && extras.runAlone !== true && extras.claim === undefined,
        acceptBelowMilliseconds: getAcceptBelow(step),
        claim: extras.claim?.number,
        idempotencyKey: extras.claim?.idempotencyKey,
        runAlone: extras.runAlone,
        fingerprint: request.fingerprint,
        work: createWork(options, request, state),
        continuation: held.tokens === 0
            ? undefined
            : create(ContinuationSchema, { heldText: held.text, heldTokens: held.tokens }),
    });
}

/** Creates the part of the message that says what is to be done. */
function createWork(options: EntryOptions, request: AdmittedRequest, state: AttemptState): DispatchRequest["work"] {
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
        prefixHashes: state.getHashes().map(hash => Buffer.from(hash, "hex")),
        promptTokensEstimate: Math.ceil(Buffer.byteLength(completion.prompt) / options.routing.bytesPerToken),
    });
    return { case: "completion", value };
}

/** Gets the cost up to which the sidecar should take the request; 0 leaves it to the sidecar. */
function getAcceptBelow(step: RouteStep): number {
    const { acceptBelowMilliseconds } = step;
    const isBound = acceptBelowMilliseconds !== undefined && Number.isFinite(acceptBelowMilliseconds);
    return isBound ? Math.max(1, Math.round(acceptBelowMilliseconds)) : 0;
}
