/*
 * A client of the control members. Commands executed close together travel in one message. A command is sent again only
 * where it is certain not to be committed, or where the replicated state knows it again by its id.
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
import { createMemberChoice } from "./createMemberChoice";
import { ExecuteResult } from "./ExecuteResult";
import { isIdempotentCommand } from "./isIdempotentCommand";
import { PendingCommand } from "./PendingCommand";
import { QueryResult } from "./QueryResult";

const defaultTimeoutMilliseconds = 10_000;
const batchMilliseconds = 1;
const longestRetryMilliseconds = 200;
const maximumBatchCommands = 256;
const maximumMessagesInFlight = 4;

/** Creates a client of the control members. */
export function createControlClient(options: ControlClientOptions): ControlClient {
    const { members, peers, clock, random, timeoutMilliseconds = defaultTimeoutMilliseconds } = options;
    const choice = createMemberChoice(members, random);
    const waiting: PendingCommand[] = [];
    let messagesInFlight = 0;
    let isGathering = false;
    return { execute, query };

    function execute(command: Command, signal?: AbortSignal): Promise<ExecuteResult> {
        return new Promise(resolve => {
            const pending: PendingCommand = {
                command,
                deadlineMilliseconds: clock.getMonotonicMilliseconds() + timeoutMilliseconds,
                mayBeCommitted: false,
                isSent: false,
                isGivenUp: false,
                resolve,
            };
            signal?.addEventListener("abort", () => giveUp(pending, "the caller gave up"), { once: true });
            waiting.push(pending);
            void gather();
        });
    }

    /** Answers a command that is not waited for any more. */
    function giveUp(pending: PendingCommand, reason: string): void {
        const position = waiting.indexOf(pending);
        if (position >= 0) {
            waiting.splice(position, 1);
        }
        pending.isGivenUp = true;
        const isCertain = !pending.mayBeCommitted && !pending.isSent;
        pending.resolve(isCertain ? { kind: "notCommitted", reason } : { kind: "unknown", reason });
    }

    /** Waits a moment for further commands, and sends them together. */
    async function gather(): Promise<void> {
        if (isGathering) {
            return;
        }
        isGathering = true;
        await clock.sleep(batchMilliseconds);
        isGathering = false;
        while (waiting.length > 0 && messagesInFlight < maximumMessagesInFlight) {
            void sendBatch(waiting.splice(0, maximumBatchCommands));
        }
    }

    async function sendBatch(batch: readonly PendingCommand[]): Promise<void> {
        messagesInFlight++;
        batch.forEach(pending => pending.isSent = true);
        const request = create(ExecuteRequestSchema, { commands: batch.map(pending => pending.command) });
        const outcome = await peers.execute(choice.get(), request);
        messagesInFlight--;
        batch.forEach(pending => pending.isSent = false);
        if (outcome.kind === "answered") {
            takeResponse(batch, outcome.response);
        }
        else {
            choice.dropLeader();
            const isUnknown = outcome.kind === "unknown";
            batch.forEach(pending => handleFailure(pending, isUnknown, outcome.reason));
        }
        void gather();
    }

    function takeResponse(batch: readonly PendingCommand[], response: ExecuteResponse): void {
        choice.setLeader(response.leaderAddress);
        if (response.outcome === ExecuteOutcome.NO_LEADER) {
            choice.dropLeader();
        }
        batch.forEach((pending, position) => {
            const outcome = response.outcomes[position] ?? response.outcome;
            const result = response.results[position];
            if (outcome === ExecuteOutcome.COMMITTED && result !== undefined) {
                pending.resolve({ kind: "committed", result });
            }
            else {
                handleFailure(pending, outcome !== ExecuteOutcome.NO_LEADER, "no leader could be reached");
            }
        });
    }

    /** Sends a command again later where that is right, and answers it otherwise. */
    function handleFailure(pending: PendingCommand, isUnknown: boolean, reason: string): void {
        pending.mayBeCommitted ||= isUnknown;
        const mayRetry = !isUnknown || isIdempotentCommand(pending.command);
        if (mayRetry && clock.getMonotonicMilliseconds() < pending.deadlineMilliseconds) {
            void retryLater(pending);
        }
        else {
            giveUp(pending, reason);
        }
    }

    async function retryLater(pending: PendingCommand): Promise<void> {
        await clock.sleep(random.getFraction() * longestRetryMilliseconds);
        if (!pending.isGivenUp) {
            waiting.push(pending);
            void gather();
        }
    }

    async function query(kind: QueryKind, argument: string, isLinearizable: boolean): Promise<QueryResult> {
        const deadline = clock.getMonotonicMilliseconds() + timeoutMilliseconds;
        const request = create(QueryRequestSchema, { kind, argument, linearizable: isLinearizable });
        while (true) {
            const outcome = await peers.query(choice.get(), request);
            if (outcome.kind === "answered" && outcome.response.outcome === ExecuteOutcome.COMMITTED) {
                return createAnswer(outcome.response);
            }
            choice.dropLeader();
            const reason = outcome.kind === "answered" ? "no leader could be reached" : outcome.reason;
            if (clock.getMonotonicMilliseconds() >= deadline) {
                return { kind: "unreachable", reason };
            }
            await clock.sleep(random.getFraction() * longestRetryMilliseconds);
        }
    }
}

function createAnswer(response: QueryResponse): QueryResult {
    const text = new TextDecoder().decode(response.json);
    return { kind: "answered", index: response.index, value: text === "" ? undefined : JSON.parse(text) as unknown };
}
