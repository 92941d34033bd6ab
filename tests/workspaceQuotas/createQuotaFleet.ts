/*
 * Several entry processes and a leader with the quota of one workspace, on a clock that the test controls. Polls are answered
 * at once unless the test delays the response.
 */
import { create } from "@bufbuild/protobuf";
import { WorkspaceQuota } from "../../src/documents";
import { createEntryRegistry, FeedState } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { readClocks } from "../../src/membership";
import { createMetrics } from "../../src/metrics";
import { PollOutcome, PollRequestSchema, PollResponseSchema } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createQuotaLedger, createQuotaView, createWorkspaceQuotas, QuotaBounds } from "../../src/workspaceQuotas";
import { QuotaCharge, QuotaDecision, WorkspaceQuotas } from "../../src/workspaceQuotas";
import { createTestDocument } from "../documents/createTestDocument";
import { createEmptyTestFeedState } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";

/** How often the entry processes poll in `tick`, in milliseconds. */
const pollIntervalMilliseconds = 400;

/**
 * Creates a fleet without entry processes.
 * @param firstQuota - The quota.
 * @param bounds - Its bound.
 */
export function createQuotaFleet(firstQuota: WorkspaceQuota, bounds: QuotaBounds) {
    const clock = createManualClock();
    const metrics = createMetrics();
    const entries = new Map<number, { state: FeedState; quotas: WorkspaceQuotas; }>();
    const registry = createEntryRegistry(clock);
    let document = createDocument(1, firstQuota);
    let sentAmount = 0;
    const ledger = createQuotaLedger({ getQuotas: createQuotaView(() => document), bounds, clock, metrics });
    return {
        clock,
        start,
        stop: (entry: number) => entries.delete(entry),
        poll: (entry: number) => beginPoll(entry)(),
        beginPoll,
        admit,
        sendIfAllowed,
        use,
        tick,
        setQuota: (quota: WorkspaceQuota) => document = createDocument(document.version + 1, quota),
        getSentAmount: () => sentAmount,
        resetSentAmount: () => sentAmount = 0,
    };

    function createDocument(version: number, quota: WorkspaceQuota) {
        const workspace = { name: "alpha", apiKeys: [], priority: 1, isIsolated: false, quota };
        return createTestDocument({ version, workspaces: [workspace] });
    }

    function start(entry: number): void {
        const state = createEmptyTestFeedState(clock);
        const random = createRandomSource(1);
        const quotas = createWorkspaceQuotas({ reporter: `entry ${entry}`, state, bounds, clock, random, metrics });
        entries.set(entry, { state, quotas });
    }

    /** Creates a poll; the returned function lets the leader answer it, and the entry process read the response. */
    function beginPoll(entry: number): () => void {
        const { state, quotas } = entries.get(entry)!;
        const entryId = `entry ${entry}`;
        const request = create(PollRequestSchema, { entryId, ...quotas.createPollFields() });
        const sendTime = readClocks(clock);
        return () => {
            registry.recordPoll(entryId);
            ledger.readPoll(request);
            const response = create(PollResponseSchema, {
                outcome: PollOutcome.CURRENT,
                documentVersion: BigInt(document.version),
                document: Buffer.from(JSON.stringify(document)),
                entryCount: registry.getCount(),
                ...ledger.createResponseFields(request),
            });
            quotas.prepareResponse();
            state.applyResponse(response, sendTime);
            quotas.readResponse(response);
        };
    }

    function admit(entry: number, tokens?: number): QuotaDecision | Promise<QuotaDecision> {
        return entries.get(entry)!.quotas.admit({
            workspace: "alpha",
            tokens,
            remainingMilliseconds: 30_000,
            signal: new AbortController().signal,
            logger: createSilentLogger(),
        });
    }

    function sendIfAllowed(charge: QuotaCharge | undefined, amount: number): boolean {
        const isAllowed = charge?.prepareSending(false) === undefined;
        if (isAllowed) {
            charge?.recordSent();
            sentAmount += amount;
        }
        else {
            charge.end(false);
        }
        return isAllowed;
    }

    /** Sends requests of an amount through an entry process until one waits or is refused. */
    function use(entry: number, count: number, tokens?: number): void {
        for (let request = 0; request < count; request++) {
            const decision = admit(entry, tokens);
            if (decision instanceof Promise) {
                void decision.then(later => later.kind === "admitted" && sendIfAllowed(later.charge, tokens ?? 1));
                return;
            }
            if (decision.kind === "refused" || !sendIfAllowed(decision.charge, tokens ?? 1)) {
                return;
            }
        }
    }

    /** Advances the time while all entry processes poll, and calls a function after their polls. */
    async function tick(milliseconds: number, onPolled: () => void = () => undefined): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += pollIntervalMilliseconds) {
            await clock.advance(pollIntervalMilliseconds);
            [...entries.keys()].forEach(entry => beginPoll(entry)());
            onPolled();
        }
    }
}
