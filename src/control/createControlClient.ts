/*
 * Sends commands and queries to the control members. Commands that are executed within a short time are sent in one
 * message. A command is sent again only if it was certainly not committed, or if the replicated state detects the
 * repetition by the command's id.
 */
import { create } from "@bufbuild/protobuf";
import {
    Command,
    ExecuteOutcome,
    ExecuteRequestSchema,
    ExecuteResponse,
    QueryKind,
    QueryRequestSchema,
    QueryResponse,
} from "../protocol";
import { ControlClient } from "./ControlClient";
import { ControlClientOptions } from "./ControlClientOptions";
import { createMemberSelector } from "./createMemberSelector";
import { ExecuteResult } from "./ExecuteResult";
import { isIdempotentCommand } from "./isIdempotentCommand";
import { PendingCommand } from "./PendingCommand";
import { QueryResult } from "./QueryResult";

const defaultTimeoutMilliseconds = 10_000;
const batchDelayMilliseconds = 1;
const maximumRetryDelayMilliseconds = 200;
const maximumBatchCommands = 256;
const maximumMessagesInFlight = 4;

/**
 * Creates a client of the control members.
 * @param options - The members' addresses, the calls to them and the timeout.
 */
export function createControlClient(options: ControlClientOptions): ControlClient {
    const { members, peers, clock, random, timeoutMilliseconds = defaultTimeoutMilliseconds } = options;
    const memberSelector = createMemberSelector(members, random);
    const queue: PendingCommand[] = [];
    let messagesInFlight = 0;
    let isBatchScheduled = false;
    return { execute, query };

    function execute(command: Command, signal?: AbortSignal): Promise<ExecuteResult> {
        return new Promise(resolve => {
            const pending: PendingCommand = {
                command,
                deadlineMilliseconds: clock.getMonotonicMilliseconds() + timeoutMilliseconds,
                mayBeCommitted: false,
                isInFlight: false,
                isAbandoned: false,
                resolve,
            };
            signal?.addEventListener("abort", () => abandon(pending, "the caller gave up"), { once: true });
            queue.push(pending);
            void scheduleBatches();
        });
    }

    /** Ends a command without a result; the outcome is `notCommitted` only if that is certain. */
    function abandon(pending: PendingCommand, reason: string): void {
        const queueIndex = queue.indexOf(pending);
        if (queueIndex >= 0) {
            queue.splice(queueIndex, 1);
        }
        pending.isAbandoned = true;
        const isKnownUncommitted = !pending.mayBeCommitted && !pending.isInFlight;
        pending.resolve(isKnownUncommitted ? { kind: "notCommitted", reason } : { kind: "unknown", reason });
    }

    /** Sends the queued commands in batches after a delay in which further commands can be queued. */
    async function scheduleBatches(): Promise<void> {
        if (isBatchScheduled) {
            return;
        }
        isBatchScheduled = true;
        await clock.sleep(batchDelayMilliseconds);
        isBatchScheduled = false;
        while (queue.length > 0 && messagesInFlight < maximumMessagesInFlight) {
            void sendBatch(queue.splice(0, maximumBatchCommands));
        }
    }

    async function sendBatch(batch: readonly PendingCommand[]): Promise<void> {
        messagesInFlight++;
        batch.forEach(pending => pending.isInFlight = true);
        const request = create(ExecuteRequestSchema, { commands: batch.map(pending => pending.command) });
        const outcome = await peers.execute(memberSelector.getAddress(), request);
        messagesInFlight--;
        batch.forEach(pending => pending.isInFlight = false);
        if (outcome.kind === "answered") {
            handleResponse(batch, outcome.response);
        }
        else {
            memberSelector.selectNext();
            const isOutcomeUnknown = outcome.kind === "unknown";
            batch.forEach(pending => handleFailure(pending, isOutcomeUnknown, outcome.reason));
        }
        void scheduleBatches();
    }

    function handleResponse(batch: readonly PendingCommand[], response: ExecuteResponse): void {
        memberSelector.setLeader(response.leaderAddress);
        if (response.outcome === ExecuteOutcome.NO_LEADER) {
            memberSelector.selectNext();
        }
        batch.forEach((pending, commandIndex) => {
            const outcome = response.outcomes[commandIndex] ?? response.outcome;
            const result = response.results[commandIndex];
            if (outcome === ExecuteOutcome.COMMITTED && result !== undefined) {
                pending.resolve({ kind: "committed", result });
            }
            else {
                handleFailure(pending, outcome !== ExecuteOutcome.NO_LEADER, "no leader could be reached");
            }
        });
    }

    /** Retries a command if that is safe and its deadline has not passed; otherwise ends it. */
    function handleFailure(pending: PendingCommand, isOutcomeUnknown: boolean, reason: string): void {
        pending.mayBeCommitted ||= isOutcomeUnknown;
        const mayRetry = !isOutcomeUnknown || isIdempotentCommand(pending.command);
        if (mayRetry && clock.getMonotonicMilliseconds() < pending.deadlineMilliseconds) {
            void retryAfterDelay(pending);
        }
        else {
            abandon(pending, reason);
        }
    }

    async function retryAfterDelay(pending: PendingCommand): Promise<void> {
        await clock.sleep(random.getFraction() * maximumRetryDelayMilliseconds);
        if (!pending.isAbandoned) {
            queue.push(pending);
            void scheduleBatches();
        }
    }

    async function query(kind: QueryKind, argument: string, isLinearizable: boolean): Promise<QueryResult> {
        const deadlineMilliseconds = clock.getMonotonicMilliseconds() + timeoutMilliseconds;
        const request = create(QueryRequestSchema, { kind, argument, linearizable: isLinearizable });
        while (true) {
            const outcome = await peers.query(memberSelector.getAddress(), request);
            if (outcome.kind === "answered" && outcome.response.outcome === ExecuteOutcome.COMMITTED) {
                return createQueryResult(outcome.response);
            }
            memberSelector.selectNext();
            const reason = outcome.kind === "answered" ? "no leader could be reached" : outcome.reason;
            if (clock.getMonotonicMilliseconds() >= deadlineMilliseconds) {
                return { kind: "unreachable", reason };
            }
            await clock.sleep(random.getFraction() * maximumRetryDelayMilliseconds);
        }
    }
}

function createQueryResult(response: QueryResponse): QueryResult {
    const text = new TextDecoder().decode(response.json);
    return { kind: "answered", index: response.index, value: text === "" ? undefined : JSON.parse(text) as unknown };
}
