/*
 * Keeps what the attempts at one request have in common.
 */
import { combineRunStates } from "../outcome";
import { ProcessRecord, RunState } from "../protocol";
import { createPrefixChain, createRouteSearch, RouteSearch, RouteStep } from "../routing";
import { AdmittedRequest } from "./AdmittedRequest";
import { AttemptState } from "./AttemptState";
import { EntryOptions } from "./EntryOptions";
import { getRequestVersion } from "./getRequestVersion";

const seedBytes = 4;

/** Creates the state of a request. */
export function createAttemptState(options: EntryOptions, request: AdmittedRequest): AttemptState {
    const { directory, placement, routing } = options;
    const { work } = request;
    const serves = work.kind === "completion" ? work.request.model : work.call.service;
    const excluded = new Set<string>();
    const heldTexts: string[] = [];
    let search: RouteSearch | undefined;
    let searched: readonly ProcessRecord[] = [];
    let version: string | undefined;
    let hashes: readonly string[] = [];
    let heldTokens = 0;
    let runState = RunState.NOT_RUN;
    let hasServiceAnswer = false;
    chooseVersion();
    return {
        seed: getSeed(),
        getVersion: () => version,
        getHashes: () => hashes,
        getNextStep,
        addQuote: (instanceId, quote) => search?.addEstimate(instanceId, quote),
        exclude,
        clearExclusions,
        addText,
        getHeldText: () => ({ text: heldTexts.join(""), tokens: heldTokens }),
        setAnswerBegun: () => {
            hasServiceAnswer = true;
        },
        hasAnswerBegun: () => hasServiceAnswer || heldTokens > 0,
        addRunState: state => {
            runState = combineRunStates(runState, state);
        },
        getRunState: () => runState,
        mayRetry: () => !hasServiceAnswer,
    };

    /** Gets the next step of the search, which begins anew where the sidecars have changed. */
    function getNextStep(): RouteStep | undefined {
        const candidates = getCandidates();
        if (search === undefined || !isSameList(candidates, searched)) {
            searched = candidates;
            search = createSearch(candidates);
        }
        return search.getNext();
    }

    function createSearch(candidates: readonly ProcessRecord[]): RouteSearch {
        return createRouteSearch({
            placement,
            request: {
                modelOrService: serves,
                hashes,
                promptTokens: getPromptTokens(),
                requestId: request.requestId,
                excluded: new Set(excluded),
            },
            candidates,
            mayRedirect: options.mayRedirect ?? true,
        });
    }

    function exclude(instanceId: string): void {
        excluded.add(instanceId);
        search?.exclude(instanceId);
    }

    function clearExclusions(): void {
        excluded.clear();
        search = undefined;
    }

    /** Gets the sidecars of the version; another version is chosen only while the caller holds nothing. */
    function getCandidates(): readonly ProcessRecord[] {
        const candidates = directory.getCandidates(serves);
        if (work.kind === "service") {
            return candidates;
        }
        const isServed = candidates.some(candidate => candidate.version === version);
        if (!isServed && heldTokens === 0) {
            chooseVersion();
        }
        return candidates.filter(candidate => candidate.version === version);
    }

    function chooseVersion(): void {
        if (work.kind === "completion") {
            version = getRequestVersion(options, work.request);
            hashes = getHashes();
        }
    }

    function addText(text: string, tokens: number): void {
        heldTexts.push(text);
        heldTokens += tokens;
    }

    function getHashes(): readonly string[] {
        if (work.kind !== "completion" || version === undefined) {
            return [];
        }
        const scope = { workspace: request.subscriber.workspace, model: work.request.model, version };
        return createPrefixChain(work.request.prompt, scope, getPieceBytes()).hashes;
    }

    function getPieceBytes(): number {
        return Math.round(routing.pieceTokens * routing.bytesPerToken);
    }

    function getPromptTokens(): number {
        return work.kind === "completion"
            ? Math.ceil(Buffer.byteLength(work.request.prompt) / routing.bytesPerToken)
            : 0;
    }

    function getSeed(): bigint {
        const asked = work.kind === "completion" ? work.request.seed : undefined;
        return asked ?? BigInt(Buffer.from(request.fingerprint).readUIntBE(0, seedBytes));
    }
}

/** Tells whether two lists hold the same records in the same order. */
function isSameList(left: readonly ProcessRecord[], right: readonly ProcessRecord[]): boolean {
    return left.length === right.length && left.every((record, index) => record === right[index]);
}
