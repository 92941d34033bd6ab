/*
 * Tracks the state that all attempts at one request share.
 */
import { combineRunStates } from "../outcome";
import { ProcessRecord, RunState } from "../protocol";
import { createPrefixChain, createRouteSearch, RouteSearch, RouteStep } from "../routing";
import { AdmittedRequest } from "./AdmittedRequest";
import { EntryOptions } from "./EntryOptions";
import { getRequestVersion } from "./getRequestVersion";
import { RequestState } from "./RequestState";

const seedBytes = 4;

/**
 * Creates the state of a request before its first attempt.
 * @param options - The entry's options.
 * @param request - The admitted request.
 */
export function createRequestState(options: EntryOptions, request: AdmittedRequest): RequestState {
    const { directory, placement, routing } = options;
    const { work } = request;
    const modelOrService = work.kind === "completion" ? work.request.model : work.call.service;
    const excludedIds = new Set<string>();
    const deliveredTexts: string[] = [];
    let search: RouteSearch | undefined;
    let searchedCandidates: readonly ProcessRecord[] = [];
    let version: string | undefined;
    let prefixHashes: readonly string[] = [];
    let deliveredTokens = 0;
    let runState = RunState.NOT_RUN;
    let hasServiceResponse = false;
    chooseVersion();
    return {
        seed: getSeed(),
        getVersion: () => version,
        getPrefixHashes: () => prefixHashes,
        getNextStep,
        addEstimate: (instanceId, estimate) => search?.addEstimate(instanceId, estimate),
        exclude,
        clearExclusions,
        addDeliveredText,
        getDeliveredText: () => ({ text: deliveredTexts.join(""), tokens: deliveredTokens }),
        setResponseStarted: () => {
            hasServiceResponse = true;
        },
        hasResponseStarted: () => hasServiceResponse || deliveredTokens > 0,
        addRunState: state => {
            runState = combineRunStates(runState, state);
        },
        getRunState: () => runState,
        mayRetry: () => !hasServiceResponse,
    };

    /** Gets the next step of the search; starts a new search where the list of sidecars has changed. */
    function getNextStep(): RouteStep | undefined {
        const candidates = getCandidates();
        if (search === undefined || !hasSameRecords(candidates, searchedCandidates)) {
            searchedCandidates = candidates;
            search = createSearch(candidates);
        }
        return search.getNext();
    }

    function createSearch(candidates: readonly ProcessRecord[]): RouteSearch {
        return createRouteSearch({
            placement,
            request: {
                modelOrService,
                hashes: prefixHashes,
                promptTokens: getPromptTokens(),
                requestId: request.requestId,
                excluded: new Set(excludedIds),
            },
            candidates,
            mayRedirect: options.mayRedirect ?? true,
        });
    }

    function exclude(instanceId: string): void {
        excludedIds.add(instanceId);
        search?.exclude(instanceId);
    }

    function clearExclusions(): void {
        excludedIds.clear();
        search = undefined;
    }

    /** Gets the sidecars of the chosen version; the version may change only until text has been passed on. */
    function getCandidates(): readonly ProcessRecord[] {
        const candidates = directory.getCandidates(modelOrService);
        if (work.kind === "service") {
            return candidates;
        }
        const isServed = candidates.some(candidate => candidate.version === version);
        if (!isServed && deliveredTokens === 0) {
            chooseVersion();
        }
        return candidates.filter(candidate => candidate.version === version);
    }

    function chooseVersion(): void {
        if (work.kind === "completion") {
            version = getRequestVersion(options, work.request);
            prefixHashes = createPrefixHashes();
        }
    }

    function addDeliveredText(text: string, tokens: number): void {
        deliveredTexts.push(text);
        deliveredTokens += tokens;
    }

    function createPrefixHashes(): readonly string[] {
        if (work.kind !== "completion" || version === undefined) {
            return [];
        }
        const scope = { workspace: request.subscriber.workspace, model: work.request.model, version };
        return createPrefixChain(work.request.prompt, scope, getBlockBytes()).hashes;
    }

    function getBlockBytes(): number {
        return Math.round(routing.pieceTokens * routing.bytesPerToken);
    }

    function getPromptTokens(): number {
        return work.kind === "completion"
            ? Math.ceil(Buffer.byteLength(work.request.prompt) / routing.bytesPerToken)
            : 0;
    }

    function getSeed(): bigint {
        const requestedSeed = work.kind === "completion" ? work.request.seed : undefined;
        return requestedSeed ?? BigInt(Buffer.from(request.fingerprint).readUIntBE(0, seedBytes));
    }
}

/** Returns whether two lists contain the same records in the same order. */
function hasSameRecords(left: readonly ProcessRecord[], right: readonly ProcessRecord[]): boolean {
    return left.length === right.length && left.every((record, index) => record === right[index]);
}
