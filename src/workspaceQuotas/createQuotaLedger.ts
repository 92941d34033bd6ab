/*
 * Divides the quotas of workspaces among the entry processes, at the leader. Grants are cumulative, so that a lost response
 * loses nothing. Nothing is kept for a document without quotas.
 */
import { create } from "@bufbuild/protobuf";
import { WorkspaceQuota } from "../documents";
import { GaugeName, Metrics } from "../metrics";
import { PollRequest, PollResponse, WorkspaceGrantSchema } from "../protocol";
import { Clock } from "../runtime";
import { createWorkspaceLedger } from "./createWorkspaceLedger";
import { QuotaBounds } from "./QuotaBounds";
import { QuotaLedger } from "./QuotaLedger";
import { WorkspaceLedger } from "./WorkspaceLedger";

interface QuotaLedgerOptions {
    /** Gets the quotas of the document in force by workspace; another map for each document. */
    getQuotas(): ReadonlyMap<string, WorkspaceQuota>;
    /** The bound of a window. */
    bounds: QuotaBounds;
    /** The clock. */
    clock: Clock;
    /** Shows what is granted and unused. */
    metrics: Metrics;
}

/**
 * Creates the ledger of a control member.
 * @param options - The quotas and their bound.
 */
export function createQuotaLedger(options: QuotaLedgerOptions): QuotaLedger {
    const { bounds, clock, metrics } = options;
    const ledgers = new Map<string, WorkspaceLedger>();
    let quotas: ReadonlyMap<string, WorkspaceQuota> = new Map();
    let termStartMilliseconds = clock.getMonotonicMilliseconds();
    metrics.addGauge(
        GaugeName.QuotaCredit,
        () => [...ledgers.values()].reduce((largest, ledger) => Math.max(largest, ledger.getOutstanding()), 0),
    );
    return { beginTerm, readPoll, createResponseFields };

    function beginTerm(): void {
        ledgers.clear();
        quotas = new Map();
        termStartMilliseconds = clock.getMonotonicMilliseconds();
    }

    function readPoll({ quotaReporter, workspaceUsages }: PollRequest): void {
        // The buckets of workspaces that nobody uses are refilled, too.
        readQuotas();
        for (const usage of workspaceUsages) {
            ledgers.get(usage.workspace)?.recordUsage(quotaReporter, usage);
        }
    }

    function readQuotas(): void {
        const newQuotas = options.getQuotas();
        if (newQuotas === quotas) {
            return;
        }
        quotas = newQuotas;
        for (const workspace of ledgers.keys()) {
            if (!quotas.has(workspace)) {
                ledgers.delete(workspace);
            }
        }
        for (const [workspace, quota] of quotas) {
            const ledger = ledgers.get(workspace);
            ledger?.setQuota(quota);
            if (!ledger) {
                ledgers.set(
                    workspace,
                    createWorkspaceLedger({ quota, bounds, termStartMilliseconds, clock }),
                );
            }
        }
    }

    function createResponseFields(
        { quotaReporter, workspaceUsages }: PollRequest,
    ): Partial<Pick<PollResponse, "workspaceGrants">> {
        if (workspaceUsages.length === 0) {
            return {};
        }
        readQuotas();
        return {
            workspaceGrants: workspaceUsages.flatMap(usage => {
                const { workspace, account } = usage;
                const ledger = ledgers.get(workspace);
                return ledger
                    ? [create(WorkspaceGrantSchema, { workspace, account, ...ledger.grant(quotaReporter, usage) })]
                    : [];
            }),
        };
    }
}
